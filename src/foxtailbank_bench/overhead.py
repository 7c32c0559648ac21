"""What the system adds to calls, against a bare pass-through in the same run.

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
from foxtailbank_bench.measure_catalogue import Figure
from foxtailbank_bench.ports import free_ports

ROUNDS = 5
CALLS = 100
STREAMS = 4
STREAM_TOKENS = 250
EDITS = 10
JOBS = 40
ITEMS = 20_000
MIB = 1 << 20
LIMITS = {"requests_per_s": 100_000, "concurrency": 1_000, "tokens_per_s": 1_000_000}
FAST_ENGINE = ("--base-step-ms=2", "--per-stream-ms=0")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A way to the same endpoint.

    Attributes
    ----------
    name : str
        Its name in figures.
    lookup_url, stream_url : str
        Where calls go.
    process : psutil.Process or None
        Process in between; None if there is none.
    """

    name: str
    lookup_url: str
    stream_url: str
    process: psutil.Process | None

    def processor_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        if self.process is None:
            return 0.0
        times = self.process.cpu_times()
        return float(times.user + times.system)


class Overhead:
    """Measurements on a running fleet.

    Parameters
    ----------
    launcher : Launcher
        The fleet.
    client : FleetClient
        Calls it.
    """

    def __init__(self, *, launcher: Launcher, client: FleetClient) -> None:
        self._launcher = launcher
        self._client = client
        self._http = httpx.Client(
            trust_env=False,
            timeout=30.0,
            headers={"authorization": f"Bearer {CALLER_KEY}"},
        )

    def measure(self) -> t.Iterator[Figure]:
        """Yield all figures."""
        yield from self._memory("idle")
        yield from self._calls(self._routes())
        yield from self._edits()
        yield from self._jobs()
        yield from self._memory("under load")

    def _routes(self) -> tuple[Route, ...]:
        endpoints = self._launcher.deployment.endpoints
        engine = next(one.name for one in endpoints if one.role is VmRole.ENGINE)
        service = next(one.name for one in endpoints if one.role is VmRole.SERVICE)
        bare = [
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
            self._route("direct", self._launcher.address(service), engine),
            Route(
                name="bare lookup",
                lookup_url=f"http://{bare[0]}/contracts/17",
                stream_url="",
                process=self._process(f"bare-{service}"),
            ),
            Route(
                name="bare stream",
                lookup_url="",
                stream_url=f"http://{bare[1]}/v1/completions",
                process=self._process(f"bare-{engine}"),
            ),
            Route(
                name="foxtailbank",
                lookup_url=f"http://{entry.http_address}/v1/services/contracts/contracts/17",
                stream_url=f"http://{entry.http_address}/v1/completions",
                process=self._process(entry.name),
            ),
        )

    def _route(self, name: str, service_address: str, engine: str) -> Route:
        return Route(
            name=name,
            lookup_url=f"http://{service_address}/contracts/17",
            stream_url=f"http://{self._launcher.address(engine)}/v1/completions",
            process=None,
        )

    def _process(self, name: str) -> psutil.Process:
        return psutil.Process(self._launcher.programs_by_name[name].process.pid)

    def _calls(self, routes: t.Sequence[Route]) -> t.Iterator[Figure]:
        latencies = {route.name: LatencyHistogram() for route in routes}
        per_call: dict[str, list[float]] = {route.name: [] for route in routes}
        per_chunk: dict[str, list[float]] = {route.name: [] for route in routes}
        # Routes take turns, so that what else the machine does meets them all.
        for _ in range(ROUNDS):
            for route in routes:
                if route.lookup_url:
                    used = self._lookups(route, latencies[route.name])
                    per_call[route.name].append(used)
                if route.stream_url:
                    per_chunk[route.name].append(self._streams(route))
        for route in routes:
            if route.lookup_url:
                seen = latencies[route.name].percentiles()
                yield _figure(f"lookup p50, {route.name}", [seen.p50_ms], "ms")
                yield _figure(f"lookup p99, {route.name}", [seen.p99_ms], "ms")
        for route in routes:
            if route.process is not None and route.lookup_url:
                name = f"processor time of a lookup, {route.name}"
                yield _figure(name, per_call[route.name], "ms")
            if route.process is not None and route.stream_url:
                name = f"processor time of a chunk, {route.name}"
                yield _figure(name, per_chunk[route.name], "ms")

    def _lookups(self, route: Route, latency: LatencyHistogram) -> float:
        used_s = route.processor_s()
        for _ in range(CALLS):
            started_s = time.monotonic()
            self._http.get(route.lookup_url).raise_for_status()
            latency.record_s(time.monotonic() - started_s)
        return (route.processor_s() - used_s) / CALLS * MS_PER_S

    def _streams(self, route: Route) -> float:
        used_s = route.processor_s()
        chunks = 0
        for number in range(STREAMS):
            body = {
                "model": "wordsmith",
                "prompt": f"Tribute {number}",
                "max_tokens": STREAM_TOKENS,
                "stream": True,
            }
            with self._http.stream("POST", route.stream_url, json=body) as answer:
                answer.raise_for_status()
                chunks += sum(1 for _ in answer.iter_raw())
        return (route.processor_s() - used_s) / chunks * MS_PER_S

    def _edits(self) -> t.Iterator[Figure]:
        entry = demo_entries()["tributes"]
        took = []
        for number in range(EDITS):
            entry["limits"] = LIMITS | {"max_tokens": 1_000 + number}
            took.append(float(self._client.edit("tributes", entry)))
        yield _figure("edit in force on all entry VMs", took, "ms")

    def _jobs(self) -> t.Iterator[Figure]:
        address = self._client.addresses[0]
        started_s = time.monotonic()
        ids = [
            self._client.submit(address, entry="notices", lines=_lines(1, number))
            for number in range(JOBS)
        ]
        rate = JOBS / (time.monotonic() - started_s)
        yield _figure("jobs accepted, one caller", [rate], "1/s")
        lines = _lines(ITEMS, JOBS)
        started_s = time.monotonic()
        ids.append(self._client.submit(address, entry="notices", lines=lines))
        rate = ITEMS / (time.monotonic() - started_s)
        yield _figure("items accepted, one job", [rate], "1/s")

    def _memory(self, when: str) -> t.Iterator[Figure]:
        sizes = [
            self._process(spec.name).memory_info().rss / MIB
            for spec in self._launcher.deployment.entries
        ]
        yield _figure(f"resident memory of an entry VM, {when}", sizes, "MiB")


def _lines(count: int, salt: int) -> list[bytes]:
    return [
        completion_item(f"item-{n}", prompt=f"Notice {salt}.{n}", max_tokens=8)
        for n in range(count)
    ]


def _figure(name: str, values: t.Sequence[float], unit: str) -> Figure:
    median = statistics.median(values)
    if len(values) > 1:
        name += f" ({min(values):.3g} to {max(values):.3g}, {len(values)} values)"
    return Figure(name=name, value=round(median, 3), unit=unit)


def _deployment() -> Deployment:
    first = free_ports(6)
    deployment = demo_deployment(http_port=first, peer_port=first + 3)
    fast = [
        dataclasses.replace(one, arguments=FAST_ENGINE)
        for one in deployment.endpoints
        if one.role is VmRole.ENGINE
    ]
    services = [one for one in deployment.endpoints if one.role is VmRole.SERVICE]
    return dataclasses.replace(deployment, endpoints=(fast[0], services[0]))


def main() -> int:
    """Measure and print; return 0."""
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        launcher = Launcher(deployment=_deployment(), directory=pathlib.Path(directory))
        client = FleetClient(launcher=launcher)
        try:
            launcher.start()
            for name, entry in demo_entries().items():
                limits = LIMITS | entry.get("limits", {})
                client.edit(name, entry | {"limits": limits})
            for figure in Overhead(launcher=launcher, client=client).measure():
                sys.stdout.write(msgspec.json.encode(figure).decode() + "\n")
                sys.stdout.flush()
        finally:
            client.close()
            launcher.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
