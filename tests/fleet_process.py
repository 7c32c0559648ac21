"""Fleet of separate processes for tests, with clients and fault injection."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import itertools
import json
import os
import signal
import socket

import httpx

from foxtailbank_bench.demo_catalogue import CALLER_KEY, demo_entries, put_entry
from foxtailbank_bench.deployment import demo_deployment, engine_specs, service_specs
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher

CALLER_HEADERS = {"authorization": f"Bearer {CALLER_KEY}"}
ADMIN_HEADERS = {"authorization": f"Bearer {ADMIN_KEY}"}
TIMEOUT_S = float(os.environ.get("PROOF_LIMIT_S", "60"))
ZONES = ("zone-a", "zone-b")
PORTS_PER_PROCESS = 128
_port_range_counter = itertools.count()


def free_ports(count):
    """Return the first of `count` consecutive ports that were just free."""
    # Each test process has its own range, so that parallel runs don't collide.
    base = 20_000 + os.getpid() % 90 * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS // count):
        first = base + next(_port_range_counter) * count % PORTS_PER_PROCESS
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(socket.socket(type=kind))
                        # Connections of an earlier fleet may be in TIME_WAIT.
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return first
    raise AssertionError("no free ports")


@contextlib.contextmanager
def running_fleet(directory, *, entries=None, launcher_type=Launcher, **changes):
    """Run the demo fleet after putting its catalogue entries."""
    first = free_ports(8)
    deployment = demo_deployment(http_port=first, peer_port=first + 4)
    deployment = dataclasses.replace(deployment, **changes)
    launcher = launcher_type(deployment=deployment, directory=directory)
    try:
        launcher.start()
        address = deployment.entries[0].http_address
        for name, entry in (entries or demo_entries()).items():
            put_entry(address, name, entry, admin_key=ADMIN_KEY)
        yield launcher
    finally:
        launcher.stop()


def slow_endpoints(*, step_ms=20, count=4):
    """Return endpoints whose streams last long enough to inject faults."""
    arguments = ("--base-step-ms", str(step_ms), "--report-lag-ms", "100")
    engines = engine_specs(
        zones=ZONES, count=count, model="wordsmith", arguments=arguments
    )
    return engines + service_specs(zones=ZONES, count=2, service="records")


class RelayedLauncher(Launcher):
    """Launcher of a fleet whose entry VMs reach all others through relay links.

    The link ``a>b`` carries the connections and datagrams that entry VM a opens or
    sends to b, which is an entry VM, an endpoint or ``platform``.
    """

    def start_entry(self, spec):
        """Start an entry VM, and the relay before the first one."""
        if "relay" not in self.programs_by_name:
            self._start_relay()
        super().start_entry(spec)

    def _start_process(self, name, module, *arguments):
        if module == "foxtailbank.daemon":
            file = self.directory / f"{name}.links.json"
            file.write_text(json.dumps(self._link_addresses(name)))
            module = "foxtailbank_bench.relayed_daemon"
            arguments += ("--links", str(file))
        super()._start_process(name, module, *arguments)

    def _targets(self):
        targets = {spec.name: spec.peer_address for spec in self.deployment.entries}
        for spec in self.deployment.endpoints:
            targets[spec.name] = self.address(spec.name)
        return targets | {"platform": self.address("platform")}

    def _start_relay(self):
        arguments = [
            f"--link={spec.name}>{name}={address}"
            for spec in self.deployment.entries
            for name, address in self._targets().items()
            if name != spec.name
        ]
        self._start_process("relay", "foxtailbank_bench.relay", *arguments)
        self._wait_for_address("relay")
        url = f"http://{self.address('relay')}/control/links"
        self._addresses_by_link = httpx.get(url).json()

    def _link_addresses(self, name):
        return {
            address: self._addresses_by_link[f"{name}>{target}"]
            for target, address in self._targets().items()
            if target != name
        }

    def set_links(self, sources, targets, mode):
        """Set the mode of all links between two groups of names, in both directions."""
        pairs = {(a, b) for a in sources for b in targets}
        for a, b in pairs | {(b, a) for a, b in pairs}:
            if a != b and f"{a}>{b}" in self._addresses_by_link:
                self.faults("relay", link=f"{a}>{b}", mode=mode)


class Fleet:
    """Client of a running fleet that also reads journals and injects faults."""

    def __init__(self, launcher):
        self.launcher = launcher
        self.entries = launcher.deployment.entries
        self.client = httpx.Client(
            headers=CALLER_HEADERS, timeout=TIMEOUT_S, trust_env=False
        )
        for vm in range(len(self.entries)):
            self.wait(lambda vm=vm: self.has_model(vm))

    def url(self, vm, path):
        return f"http://{self.entries[vm].http_address}{path}"

    def wait(self, condition):
        self.launcher.wait_until(condition, timeout_s=TIMEOUT_S)

    def name(self, vm):
        return self.entries[vm].name

    def has_model(self, vm):
        return "wordsmith" in self.client.get(self.url(vm, "/v1/models")).text

    def complete(self, vm, prompt, *, tokens=8, **headers):
        body = {"model": "wordsmith", "prompt": prompt, "max_tokens": tokens}
        url = self.url(vm, "/v1/completions")
        return self.client.post(url, json=body, headers=headers)

    def stream(self, vm, prompt, *, tokens, request_id, started=None):
        """Return a streamed response's text, finish reason and last data line.

        Sets the event `started` once the first data line has arrived.
        """
        body = {"model": "wordsmith", "prompt": prompt, "max_tokens": tokens}
        body |= {"stream": True}
        headers = {"x-request-id": request_id}
        url = self.url(vm, "/v1/completions")
        with self.client.stream("POST", url, json=body, headers=headers) as response:
            lines = []
            for line in response.iter_lines():
                if line:
                    lines.append(line[6:])
                    if started is not None:
                        started.set()
        chunks = [json.loads(line) for line in lines if line != "[DONE]"]
        errors = [chunk["error"] for chunk in chunks if "error" in chunk]
        assert not errors, errors
        choices = [c["choices"][0] for c in chunks if c["choices"]]
        text = "".join(choice["text"] for choice in choices)
        return text, choices[-1]["finish_reason"], lines[-1]

    def expected_stream(self, vm, prompt, *, tokens):
        """Return what `stream` gives for an uninterrupted response."""
        choice = self.complete(vm, prompt, tokens=tokens).json()["choices"][0]
        return choice["text"], choice["finish_reason"], "[DONE]"

    def expected_streams(self, prompt, *, count, tokens):
        """Return what `running_streams` gives for uninterrupted responses."""
        return [
            self.expected_stream(0, f"{prompt} {index}", tokens=tokens)
            for index in range(count)
        ]

    @contextlib.contextmanager
    def running_streams(self, prompt, *, count, tokens, prefix, vms=(0, 1, 2)):
        """Start streams at the VMs in turn; yield their futures when all are running.

        Their request ids are `prefix` and a number.
        """
        with concurrent.futures.ThreadPoolExecutor() as pool:
            streams = [
                pool.submit(
                    self.stream,
                    vms[index % len(vms)],
                    f"{prompt} {index}",
                    tokens=tokens,
                    request_id=f"{prefix}{index}",
                )
                for index in range(count)
            ]
            self.wait(lambda: len(self.requests_with_prefix(prefix)) == count)
            yield streams

    def submit(self, vm, *, count, tokens=16, key="", prompt="Notice"):
        lines = [
            {
                "custom_id": f"item-{index}",
                "body": {
                    "model": "wordsmith",
                    "prompt": f"{prompt} {index}",
                    "max_tokens": tokens,
                },
            }
            for index in range(count)
        ]
        content = "\n".join(json.dumps(line) for line in lines)
        headers = {"idempotency-key": key} if key else {}
        url = self.url(vm, "/v1/batches?entry=notices")
        return self.client.post(url, content=content, headers=headers)

    def job(self, vm, job_id):
        response = self.client.get(self.url(vm, f"/v1/batches/{job_id}"))
        return response.json() if response.status_code == 200 else {"status": "unknown"}

    def wait_job(self, vm, job_id, status="finished"):
        self.wait(lambda: self.job(vm, job_id)["status"] == status)

    def ended_status(self, vm, job_id):
        self.wait(lambda: self.job(vm, job_id)["status"] in ("finished", "cancelled"))
        return self.job(vm, job_id)["status"]

    def results(self, vm, job_id):
        url = self.url(vm, f"/v1/batches/{job_id}/results")
        return [json.loads(line) for line in self.client.get(url).text.splitlines()]

    def assert_each_item_once(self, vm, job_id, count):
        lines = self.results(vm, job_id)
        counts = collections.Counter(line["custom_id"] for line in lines)
        assert counts == {f"item-{index}": 1 for index in range(count)}
        bad = [line for line in lines if line["error"]]
        assert bad == [], bad[:2]
        assert len(lines) == count
        return lines

    def cancel(self, vm, job_id):
        url = self.url(vm, f"/v1/batches/{job_id}/cancel")
        return self.client.post(url).json()

    def create_booking(self, vm, content, *, key="", client=None, **headers):
        headers |= {"idempotency-key": key} if key else {}
        url = self.url(vm, "/v1/services/bookings/bookings")
        return (client or self.client).post(url, json=content, headers=headers)

    def journal(self, *names):
        """Return the latest journal entry of each request that endpoints received."""
        entries_by_key = {}
        for spec in self.launcher.deployment.endpoints:
            if names and spec.name not in names:
                continue
            file = self.launcher.journal(spec.name)
            written = file.read_bytes() if file.exists() else b""
            # The endpoint may be writing the last line just now.
            for line in written.split(b"\n")[:-1]:
                entry = json.loads(line)
                key = (spec.name, entry["request_id"], entry["at_ms"])
                entries_by_key[key] = entry | {"endpoint": spec.name}
        return list(entries_by_key.values())

    def requests_with_prefix(self, prefix):
        """Return journal entries whose request identifier starts with a prefix."""
        return [e for e in self.journal() if e["request_id"].startswith(prefix)]

    def bookings(self):
        return [entry for entry in self.journal() if entry["path"] == "/bookings"]

    def set_platform_faults(self, **faults):
        self.launcher.faults("platform", **faults)

    def kill(self, name):
        self.launcher.kill(name)

    def pause(self, vm):
        self.launcher.signal(self.name(vm), signal.SIGSTOP)

    def resume(self, vm):
        self.launcher.signal(self.name(vm), signal.SIGCONT)

    def restart(self, vm):
        self.launcher.start_entry(self.entries[vm])
        self.launcher.wait_ready(self.entries[vm])
        self.wait(lambda: self.has_model(vm))
