"""Overhead per call, compared with a minimal proxy in the same run.

Run with ``python -m foxtailbank_bench.overhead``; prints JSON lines.
"""

import dataclasses
import pathlib
import statistics
import sys
import tempfile
import time
import typing as t

import httpx
import msgspec
import psutil

from foxtailbank.clock import MS_PER_S
from foxtailbank.vm_list import VmRole
from foxtailbank_bench.demo_catalogue import CALLER_KEY, demo_entries
from foxtailbank_bench.deployment import Deployment, demo_deployment
from foxtailbank_bench.fleet_client import FleetClient, completion_item
from foxtailbank_bench.latency_histogram import LatencyHistogram
from foxtailbank_bench.launcher import Launcher
from foxtailbank_bench.measure_catalogue import Measurement
from foxtailbank_bench.ports import free_ports

ROUNDS = 5
LOOKUPS_PER_ROUND = 100
STREAMS_PER_ROUND = 4
TOKENS_PER_STREAM = 250
CATALOGUE_EDITS = 10
SMALL_JOBS = 40
LARGE_JOB_ITEMS = 20_000
BYTES_PER_MIB = 1 << 20
HIGH_LIMITS = {
    "requests_per_s": 100_000,
    "concurrency": 1_000,
    "tokens_per_s": 1_000_000,
}
FAST_ENGINE_ARGUMENTS = ("--base-step-ms=2", "--per-stream-ms=0")


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestPath:
    """A way to call the endpoints: directly, through a proxy or through an entry VM.

    Attributes
    ----------
    name : str
        Name in figures.
    lookup_url, stream_url : str
        URL of each kind of call; empty if the path does not serve it.
    process : psutil.Process or None
        Intermediate process whose CPU time is measured; None on a direct path.
    """

    name: str
    lookup_url: str
    stream_url: str
    process: psutil.Process | None

    def cpu_time_s(self) -> float:
        """Return the CPU time that the process has used, in seconds."""
        if self.process is None:
            return 0.0
        times = self.process.cpu_times()
        return float(times.user + times.system)


class OverheadBenchmark:
    """Overhead measurements on a running fleet.

    Parameters
    ----------
    launcher : Launcher
        Launcher of the fleet.
    client : FleetClient
        Client of the fleet.
    """

    def __init__(self, *, launcher: Launcher, client: FleetClient) -> None:
        self._launcher = launcher
        self._client = client
        self._http = httpx.Client(
            trust_env=False,
            timeout=30.0,
            headers={"authorization": f"Bearer {CALLER_KEY}"},
        )

    def measure(self) -> t.Iterator[Measurement]:
        """Yield all figures."""
        yield from self._measure_memory("idle")
        yield from self._measure_calls(self._request_paths())
        yield from self._measure_edits()
        yield from self._measure_submission()
        yield from self._measure_memory("under load")

    def _request_paths(self) -> tuple[RequestPath, ...]:
        endpoints = self._launcher.deployment.endpoints
        engine = next(spec.name for spec in endpoints if spec.role is VmRole.ENGINE)
        service = next(spec.name for spec in endpoints if spec.role is VmRole.SERVICE)
        proxy_addresses = [
            self._launcher.start_program(
                f"bare-{name}",
                "foxtailbank_bench.bare_proxy",
                "--target",
                self._launcher.address(name),
            )
            for name in (service, engine)
        ]
        entry = self._launcher.deployment.entries[0]
        return (
            self._direct_path("direct", self._launcher.address(service), engine),
            RequestPath(
                name="bare lookup",
                lookup_url=f"http://{proxy_addresses[0]}/contracts/17",
                stream_url="",
                process=self._process_of(f"bare-{service}"),
            ),
            RequestPath(
                name="bare stream",
                lookup_url="",
                stream_url=f"http://{proxy_addresses[1]}/v1/completions",
                process=self._process_of(f"bare-{engine}"),
            ),
            RequestPath(
                name="foxtailbank",
                lookup_url=f"http://{entry.http_address}/v1/services/contracts/contracts/17",
                stream_url=f"http://{entry.http_address}/v1/completions",
                process=self._process_of(entry.name),
            ),
        )

    def _direct_path(self, name: str, service_address: str, engine: str) -> RequestPath:
        return RequestPath(
            name=name,
            lookup_url=f"http://{service_address}/contracts/17",
            stream_url=f"http://{self._launcher.address(engine)}/v1/completions",
            process=None,
        )

    def _process_of(self, name: str) -> psutil.Process:
        return psutil.Process(self._launcher.programs_by_name[name].process.pid)

    def _measure_calls(self, paths: t.Sequence[RequestPath]) -> t.Iterator[Measurement]:
        latencies = {path.name: LatencyHistogram() for path in paths}
        cpu_ms_per_call: dict[str, list[float]] = {path.name: [] for path in paths}
        cpu_ms_per_chunk: dict[str, list[float]] = {path.name: [] for path in paths}
        # Interleave the paths so that other load on the machine affects all alike.
        for _ in range(ROUNDS):
            for path in paths:
                if path.lookup_url:
                    cpu_ms = self._run_lookups(path, latencies[path.name])
                    cpu_ms_per_call[path.name].append(cpu_ms)
                if path.stream_url:
                    cpu_ms_per_chunk[path.name].append(self._run_streams(path))
        for path in paths:
            if path.lookup_url:
                latency = latencies[path.name].percentiles()
                yield _median_figure(f"lookup p50, {path.name}", [latency.p50_ms], "ms")
                yield _median_figure(f"lookup p99, {path.name}", [latency.p99_ms], "ms")
        for path in paths:
            if path.process is not None and path.lookup_url:
                name = f"processor time of a lookup, {path.name}"
                yield _median_figure(name, cpu_ms_per_call[path.name], "ms")
            if path.process is not None and path.stream_url:
                name = f"processor time of a chunk, {path.name}"
                yield _median_figure(name, cpu_ms_per_chunk[path.name], "ms")

    def _run_lookups(self, path: RequestPath, latency: LatencyHistogram) -> float:
        started_cpu_s = path.cpu_time_s()
        for _ in range(LOOKUPS_PER_ROUND):
            started_s = time.monotonic()
            self._http.get(path.lookup_url).raise_for_status()
            latency.record_s(time.monotonic() - started_s)
        return (path.cpu_time_s() - started_cpu_s) / LOOKUPS_PER_ROUND * MS_PER_S

    def _run_streams(self, path: RequestPath) -> float:
        started_cpu_s = path.cpu_time_s()
        chunks = 0
        for number in range(STREAMS_PER_ROUND):
            body = {
                "model": "wordsmith",
                "prompt": f"Tribute {number}",
                "max_tokens": TOKENS_PER_STREAM,
                "stream": True,
            }
            with self._http.stream("POST", path.stream_url, json=body) as response:
                response.raise_for_status()
                chunks += sum(1 for _ in response.iter_raw())
        return (path.cpu_time_s() - started_cpu_s) / chunks * MS_PER_S

    def _measure_edits(self) -> t.Iterator[Measurement]:
        entry = demo_entries()["tributes"]
        durations_ms = []
        for number in range(CATALOGUE_EDITS):
            entry["limits"] = HIGH_LIMITS | {"max_tokens": 1_000 + number}
            durations_ms.append(float(self._client.edit_entry("tributes", entry)))
        yield _median_figure("edit in force on all entry VMs", durations_ms, "ms")

    def _measure_submission(self) -> t.Iterator[Measurement]:
        address = self._client.addresses[0]
        started_s = time.monotonic()
        ids = [
            self._client.submit(address, entry="notices", lines=_item_lines(1, number))
            for number in range(SMALL_JOBS)
        ]
        rate = SMALL_JOBS / (time.monotonic() - started_s)
        yield _median_figure("jobs accepted, one caller", [rate], "1/s")
        lines = _item_lines(LARGE_JOB_ITEMS, SMALL_JOBS)
        started_s = time.monotonic()
        ids.append(self._client.submit(address, entry="notices", lines=lines))
        rate = LARGE_JOB_ITEMS / (time.monotonic() - started_s)
        yield _median_figure("items accepted, one job", [rate], "1/s")

    def _measure_memory(self, when: str) -> t.Iterator[Measurement]:
        sizes = [
            self._process_of(spec.name).memory_info().rss / BYTES_PER_MIB
            for spec in self._launcher.deployment.entries
        ]
        yield _median_figure(f"resident memory of an entry VM, {when}", sizes, "MiB")


def _item_lines(count: int, job_number: int) -> list[bytes]:
    return [
        completion_item(f"item-{n}", prompt=f"Notice {job_number}.{n}", max_tokens=8)
        for n in range(count)
    ]


def _median_figure(name: str, values: t.Sequence[float], unit: str) -> Measurement:
    median = statistics.median(values)
    if len(values) > 1:
        name += f" ({min(values):.3g} to {max(values):.3g}, {len(values)} values)"
    return Measurement(name=name, value=round(median, 3), unit=unit)


def _small_deployment() -> Deployment:
    first_port = free_ports(6)
    deployment = demo_deployment(http_port=first_port, peer_port=first_port + 3)
    engines = [
        dataclasses.replace(spec, arguments=FAST_ENGINE_ARGUMENTS)
        for spec in deployment.endpoints
        if spec.role is VmRole.ENGINE
    ]
    services = [spec for spec in deployment.endpoints if spec.role is VmRole.SERVICE]
    return dataclasses.replace(deployment, endpoints=(engines[0], services[0]))


def main() -> int:
    """Print all figures and return the exit code."""
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        launcher = Launcher(
            deployment=_small_deployment(), directory=pathlib.Path(directory)
        )
        client = FleetClient(launcher=launcher)
        try:
            launcher.start()
            for name, entry in demo_entries().items():
                limits = HIGH_LIMITS | entry.get("limits", {})
                client.edit_entry(name, entry | {"limits": limits})
            for figure in OverheadBenchmark(launcher=launcher, client=client).measure():
                sys.stdout.write(msgspec.json.encode(figure).decode() + "\n")
                sys.stdout.flush()
        finally:
            client.close()
            launcher.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
