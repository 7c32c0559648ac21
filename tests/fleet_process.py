"""Free ports and a started fleet for tests of separate processes."""

import collections
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

KEY = {"authorization": f"Bearer {CALLER_KEY}"}
ADMIN = {"authorization": f"Bearer {ADMIN_KEY}"}
LONG_S = float(os.environ.get("PROOF_LIMIT_S", "60"))
ZONES = ("zone-a", "zone-b")
PORTS_PER_PROCESS = 128
_slots = itertools.count()


def free_ports(count):
    """Ports that were free a moment ago, as a consecutive run."""
    # Each process has a range of its own, so that two test runs don't collide.
    base = 20_000 + os.getpid() % 90 * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS // count):
        first = base + next(_slots) * count % PORTS_PER_PROCESS
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(socket.socket(type=kind))
                        # Connections of an earlier fleet may still linger.
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return first
    raise AssertionError("no free ports")


@contextlib.contextmanager
def running_fleet(directory, *, entries=None, launcher_type=Launcher, **changes):
    """The demo fleet with its catalogue in force on every entry VM."""
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
    """Endpoints whose streams take long enough to be disturbed."""
    arguments = ("--base-step-ms", str(step_ms), "--report-lag-ms", "100")
    engines = engine_specs(
        zones=ZONES, count=count, model="wordsmith", arguments=arguments
    )
    return engines + service_specs(zones=ZONES, count=2, service="records")


class RelayedLauncher(Launcher):
    """A fleet whose entry VMs reach all others through links of a relay.

    The link ``a>b`` carries what entry VM a sends to b, an entry VM, an endpoint
    or ``platform``.
    """

    def start_entry(self, spec):
        """Start an entry VM, and the relay before the first."""
        if "relay" not in self.programs_by_name:
            self._start_relay()
        super().start_entry(spec)

    def _run(self, name, module, *arguments):
        if module == "foxtailbank.daemon":
            file = self.directory / f"{name}.links.json"
            file.write_text(json.dumps(self._links_of(name)))
            module = "foxtailbank_bench.relayed_daemon"
            arguments += ("--links", str(file))
        super()._run(name, module, *arguments)

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
        self._run("relay", "foxtailbank_bench.relay", *arguments)
        self._wait_listening("relay")
        url = f"http://{self.address('relay')}/control/links"
        self._addresses_by_link = httpx.get(url).json()

    def _links_of(self, name):
        return {
            address: self._addresses_by_link[f"{name}>{target}"]
            for target, address in self._targets().items()
            if target != name
        }

    def set_links(self, sources, targets, mode):
        """Change the links between two groups of names, both ways."""
        pairs = {(a, b) for a in sources for b in targets}
        for a, b in pairs | {(b, a) for a, b in pairs}:
            if a != b and f"{a}>{b}" in self._addresses_by_link:
                self.faults("relay", link=f"{a}>{b}", mode=mode)


class Fleet:
    """What callers, operators and the endpoints' journals see of a fleet."""

    def __init__(self, launcher):
        self.launcher = launcher
        self.entries = launcher.deployment.entries
        self.client = httpx.Client(headers=KEY, timeout=LONG_S, trust_env=False)
        for vm in range(len(self.entries)):
            self.wait(lambda vm=vm: self.has_model(vm))

    def url(self, vm, path):
        return f"http://{self.entries[vm].http_address}{path}"

    def wait(self, condition):
        self.launcher.wait_until(condition, timeout_s=LONG_S)

    def name(self, vm):
        return self.entries[vm].name

    def has_model(self, vm):
        return "wordsmith" in self.client.get(self.url(vm, "/v1/models")).text

    def complete(self, vm, prompt, *, tokens=8, **headers):
        body = {"model": "wordsmith", "prompt": prompt, "max_tokens": tokens}
        url = self.url(vm, "/v1/completions")
        return self.client.post(url, json=body, headers=headers)

    def stream(self, vm, prompt, *, tokens, request_id, started=None):
        """Return a streamed answer's text, the finish reasons and its end.

        The event `started` is set once the first piece has come.
        """
        body = {"model": "wordsmith", "prompt": prompt, "max_tokens": tokens}
        body |= {"stream": True}
        headers = {"x-request-id": request_id}
        url = self.url(vm, "/v1/completions")
        with self.client.stream("POST", url, json=body, headers=headers) as answer:
            lines = []
            for line in answer.iter_lines():
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

    def whole(self, vm, prompt, *, tokens):
        """What `stream` returns for an undisturbed answer."""
        choice = self.complete(vm, prompt, tokens=tokens).json()["choices"][0]
        return choice["text"], choice["finish_reason"], "[DONE]"

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
        answer = self.client.get(self.url(vm, f"/v1/batches/{job_id}"))
        return answer.json() if answer.status_code == 200 else {"status": "unknown"}

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
        assert [line for line in lines if line["error"]] == []
        assert len(lines) == count
        return lines

    def cancel(self, vm, job_id):
        url = self.url(vm, f"/v1/batches/{job_id}/cancel")
        return self.client.post(url).json()

    def book(self, vm, content, *, key="", client=None, **headers):
        headers |= {"idempotency-key": key} if key else {}
        url = self.url(vm, "/v1/services/bookings/bookings")
        return (client or self.client).post(url, json=content, headers=headers)

    def journal(self, *names):
        """Requests that reached endpoints, by their latest state."""
        found = {}
        for spec in self.launcher.deployment.endpoints:
            if names and spec.name not in names:
                continue
            file = self.launcher.journal(spec.name)
            lines = file.read_bytes().splitlines() if file.exists() else []
            for line in lines:
                entry = json.loads(line)
                where = (spec.name, entry["request_id"], entry["at_ms"])
                found[where] = entry | {"endpoint": spec.name}
        return list(found.values())

    def reached(self, prefix):
        """Requests whose identifier starts with a prefix, in the journals."""
        return [e for e in self.journal() if e["request_id"].startswith(prefix)]

    def bookings(self):
        return [entry for entry in self.journal() if entry["path"] == "/bookings"]

    def platform(self, **faults):
        self.launcher.faults("platform", **faults)

    def kill(self, name):
        self.launcher.kill(name)

    def freeze(self, vm):
        self.launcher.signal(self.name(vm), signal.SIGSTOP)

    def wake(self, vm):
        self.launcher.signal(self.name(vm), signal.SIGCONT)

    def restart(self, vm):
        self.launcher.start_entry(self.entries[vm])
        self.launcher.wait_ready(self.entries[vm])
        self.wait(lambda: self.has_model(vm))
