"""Starts and stops the processes of a fleet on one machine."""

import dataclasses
import functools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing as t

import httpx

from foxtailbank.vm_list import Vm, VmRole
from foxtailbank_bench.deployment import Deployment, EndpointSpec, EntrySpec
from foxtailbank_bench.settings_text import settings_text

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
ENDPOINT_VERSION = "1"  # all endpoints run the software of this repository
ADMIN_KEY = "demo-admin"
PEER_SECRET = "demo-peer-secret"


class LaunchFailed(Exception):
    """A process exited or did not become ready in time."""


@dataclasses.dataclass(kw_only=True)
class Program:
    """One running process.

    Attributes
    ----------
    name : str
        Name in the fleet.
    process : subprocess.Popen
        The process.
    output : pathlib.Path
        File with its standard output and error.
    address : str
        IP number and port that it listens on. Until it has printed them, ``@``
        and the size in bytes that the output file had at the start.
    """

    name: str
    process: "subprocess.Popen[bytes]"
    output: pathlib.Path
    address: str = ""


class Launcher:
    """Runs a fleet on this machine, with one process for each VM and stand-in.

    Parameters
    ----------
    deployment : Deployment
        The fleet to start.
    directory : pathlib.Path
        Directory for settings, secrets, journals and process output.

    Attributes
    ----------
    programs_by_name : dict of str to Program
        Processes started so far.
    may_fail : tuple of str
        Names of programs that may exit with an error during a wait.
    """

    def __init__(self, *, deployment: Deployment, directory: pathlib.Path) -> None:
        self.deployment = deployment
        self.directory = directory
        self.programs_by_name: dict[str, Program] = {}
        self.may_fail: tuple[str, ...] = ()

    def start(self) -> None:
        """Start all programs and wait until every entry VM is ready.

        Raises
        ------
        LaunchFailed
            A program exited or did not become ready in time.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        for spec in self.deployment.endpoints:
            self.start_endpoint(spec)
        vms = [self._endpoint_vm(spec) for spec in self.deployment.endpoints]
        vms += [_entry_vm(spec) for spec in self.deployment.entries]
        vms_file = self.directory / "vms.json"
        vms_file.write_text(json.dumps([_vm_json(vm) for vm in vms]))
        self._start_process(
            "platform", "foxtailbank_bench.platform", "--vms", str(vms_file)
        )
        self._wait_for_address("platform")
        self._write_secret("admin.key", ADMIN_KEY)
        self._write_secret("peers.key", PEER_SECRET)
        for entry in self.deployment.entries:
            self.start_entry(entry)
        for entry in self.deployment.entries:
            self.wait_ready(entry)

    def start_endpoint(self, spec: EndpointSpec, *, port: int = 0) -> None:
        """Start the stand-in of an endpoint VM."""
        module = "foxtailbank_bench.records"
        arguments = list(spec.arguments)
        if spec.role is VmRole.ENGINE:
            module = "foxtailbank_bench.engine"
            arguments += ["--model", spec.pool]
        journal = str(self.journal(spec.name))
        arguments += ["--zone", spec.zone, "--port", str(port), "--journal", journal]
        self._start_process(spec.name, module, *arguments)
        self._wait_for_address(spec.name)

    def start_program(self, name: str, module: str, *arguments: str) -> str:
        """Start another program that logs its address; return the address."""
        self._start_process(name, module, *arguments)
        self._wait_for_address(name)
        return self.address(name)

    def start_entry(self, spec: EntrySpec) -> None:
        """Start an entry VM."""
        file = self.directory / f"{spec.name}.toml"
        platform = self.address("platform")
        file.write_text(settings_text(self.deployment, spec, platform=platform))
        self._start_process(spec.name, "foxtailbank.daemon", "--settings", str(file))

    def wait_ready(self, spec: EntrySpec) -> None:
        """Wait until an entry VM is ready.

        Raises
        ------
        LaunchFailed
            A program exited with an error, or the VM was not ready in time.
        """
        self.wait_until(lambda: _is_ready(f"http://{spec.http_address}/readyz"))

    def wait_until(
        self, condition: t.Callable[[], bool], *, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds.

        Raises
        ------
        LaunchFailed
            A program exited with an error, or the time ran out.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            self.check_alive()
            if time.monotonic() > deadline_s:
                raise LaunchFailed(
                    f"condition not met within {timeout_s} s: {condition}"
                )
            time.sleep(POLL_INTERVAL_S)

    def check_alive(self) -> None:
        """Check that no program has exited with an error.

        Raises
        ------
        LaunchFailed
            A program that may not fail exited with a positive code. Termination by a
            signal is not counted as an error.
        """
        for program in self.programs_by_name.values():
            code = program.process.poll()
            if code and code > 0 and program.name not in self.may_fail:
                tail = program.output.read_text()[-2_000:]
                raise LaunchFailed(f"{program.name} exited with {code}: {tail}")

    def address(self, name: str) -> str:
        """Return the IP number and port that a program listens on."""
        return self.programs_by_name[name].address

    def journal(self, name: str) -> pathlib.Path:
        """Return the journal file of the requests that an endpoint received."""
        return self.directory / f"{name}.journal"

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one program."""
        self.programs_by_name[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one program and wait for its exit."""
        program = self.programs_by_name[name]
        program.process.kill()
        program.process.wait()

    def faults(self, name: str, **faults: t.Any) -> None:
        """Change the injected faults of a stand-in."""
        url = f"http://{self.address(name)}/control/faults"
        _http_client().post(url, json=faults).raise_for_status()

    def stop(self) -> dict[str, int]:
        """Stop all programs, entry VMs first.

        Returns
        -------
        dict of str to int
            Exit codes by program name.
        """
        entries = [spec.name for spec in self.deployment.entries]
        others = [name for name in self.programs_by_name if name not in entries]
        codes = self._stop_all([n for n in entries if n in self.programs_by_name])
        return codes | self._stop_all(others)

    def _stop_all(self, names: t.Sequence[str]) -> dict[str, int]:
        for name in names:
            process = self.programs_by_name[name].process
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        return {name: self._wait_for_exit(name) for name in names}

    def _wait_for_exit(self, name: str) -> int:
        process = self.programs_by_name[name].process
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def _start_process(self, name: str, module: str, *arguments: str) -> None:
        output = self.directory / f"{name}.out"
        with output.open("ab") as file:
            offset = file.tell()
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
            )
        self.programs_by_name[name] = Program(
            name=name, process=process, output=output, address=f"@{offset}"
        )

    def _wait_for_address(self, name: str) -> None:
        program = self.programs_by_name[name]
        offset = int(program.address[1:])

        def has_address() -> bool:
            if program.process.poll() is not None:
                raise LaunchFailed(f"{name} exited: {program.output.read_text()}")
            for line in program.output.read_bytes()[offset:].splitlines():
                if b'"listening"' in line:
                    program.address = json.loads(line)["address"]
                    return True
            return False

        self.wait_until(has_address)

    def _endpoint_vm(self, spec: EndpointSpec) -> Vm:
        return Vm(
            vm_id=spec.name,
            role=spec.role,
            zone=spec.zone,
            address=self.address(spec.name),
            pool=spec.pool,
            software_version=ENDPOINT_VERSION,
        )

    def _write_secret(self, name: str, content: str) -> None:
        file = self.directory / name
        file.write_text(content)
        file.chmod(0o600)


def _entry_vm(spec: EntrySpec) -> Vm:
    return Vm(
        vm_id=spec.name,
        role=VmRole.ENTRY,
        zone=spec.zone,
        address=spec.peer_address,
    )


def _vm_json(vm: Vm) -> dict[str, str]:
    return {
        "vm_id": vm.vm_id,
        "role": vm.role.value,
        "zone": vm.zone,
        "address": vm.address,
        "state": vm.state.value,
        "pool": vm.pool,
        "software_version": vm.software_version,
    }


def _is_ready(url: str) -> bool:
    try:
        return _http_client().get(url).status_code == httpx.codes.OK
    except httpx.TransportError:
        return False


@functools.cache
def _http_client() -> httpx.Client:
    return httpx.Client(trust_env=False, verify=False)
