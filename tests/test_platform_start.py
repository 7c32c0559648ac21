"""A process that lacks something at its start waits for it and does not end."""

import pathlib
import random
import signal
import socket

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_platform.main import METRICS_PORT
from foxtailbank_soak.callers import OnlineCaller
from foxtailbank_soak.environment import EVENTS_PER_STREAM, Environment, FleetSize
from foxtailbank_soak.journal import Journal, RequestKind
from foxtailbank_soak.vms import FRONT_PORT, READY_PORT

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
WAIT_S = 30
LACKING_S = 1.5
PEER_PORT = 17_660


class Settings:
    """The settings file, which holds something else for a while."""

    def __init__(self, content):
        self._content = content
        self._text = ""
        self._path = pathlib.Path()

    def take(self, directory, ip):
        self._path = directory / "vm1.settings"
        self._text = self._path.read_text()
        if self._content is None:
            self._path.unlink()
        else:
            self._path.write_bytes(self._content)

    def give(self):
        self._path.write_text(self._text)


class HeldPort:
    """A port of the VM that another socket holds for a while."""

    def __init__(self, port, kind=socket.SOCK_STREAM):
        self._port = port
        self._socket = socket.socket(socket.AF_INET, kind)
        if kind is socket.SOCK_STREAM:  # despite connections of an earlier run
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def take(self, directory, ip):
        self._socket.bind((ip, self._port))
        if self._socket.type is socket.SOCK_STREAM:
            self._socket.listen()

    def give(self):
        self._socket.close()


class Store:
    """The store, which is away for a while."""

    def __init__(self):
        self.environment = None

    def take(self, directory, ip):
        self.environment.store.up = False

    def give(self):
        self.environment.store.up = True


@pytest.mark.parametrize(
    ("net", "lacking"),
    [
        pytest.param("127.101", Settings(None), id="no-settings"),
        pytest.param("127.102", Settings(b""), id="empty-settings"),
        pytest.param("127.103", Settings(b"zone=\xff\nip=1\n"), id="odd-settings"),
        pytest.param("127.104", HeldPort(FRONT_PORT), id="front-port-held"),
        pytest.param("127.105", HeldPort(READY_PORT), id="ready-port-held"),
        pytest.param("127.106", HeldPort(METRICS_PORT), id="metrics-port-held"),
        pytest.param(
            "127.107", HeldPort(PEER_PORT, socket.SOCK_DGRAM), id="peer-port-held"
        ),
        pytest.param("127.108", Store(), id="store-away"),
    ],
)
# Guards against a start that ends by itself, again and again, in place of waiting.
async def test_a_start_waits_for_what_it_lacks(tmp_path, net, lacking):
    journal = Journal()
    environment = Environment(
        net=net,
        size=FleetSize(vms=1, workers=1, zones=1),
        directory=tmp_path,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )
    caller = OnlineCaller(
        name="c",
        address_by_vm=environment.address_by_vm,
        events=EVENTS_PER_STREAM,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )
    (vm,) = environment.vms
    lacking.environment = environment
    lacking.take(tmp_path, f"{net}.3.1")
    try:
        async with anyio.create_task_group() as group:
            await environment.start(group)
            await anyio.sleep(LACKING_S)
            assert vm.running
            lacking.give()
            with anyio.fail_after(WAIT_S):
                while (await caller.send(vm.vm_id, RequestKind.SAFE)).status != 200:
                    assert vm.running
                    await anyio.sleep(0.05)
            vm.should_run = False
            vm.signal(signal.SIGTERM)
            with anyio.fail_after(WAIT_S):
                while vm.running:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    finally:
        environment.kill_all()
    assert vm.exit_code == 0
    assert '"level": "error"' in (tmp_path / "vm1.log").read_text() or isinstance(
        lacking, Store
    )
