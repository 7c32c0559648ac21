"""Crowds of clients that break off, never end or never read, and the VM they meet."""

import contextlib
import dataclasses
import os
import pathlib
import socket
import subprocess
import sys

import anyio
import psutil

from foxtailbank_platform.settings import SETTINGS_VARIABLE

ROOT = pathlib.Path(__file__).parent.parent
PIECE_BYTES = 65_536
ROUND_S = 0.01
STILL_ROUNDS = 60  # without a byte sent or received, after which a crowd rests
MAX_ROUNDS = 1_500
LIVES = 3  # connections that each client opens if it is closed
RECEIVE_BUFFER_BYTES = 4_096
KB = 1_024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attack:
    """What each client of a crowd sends and then leaves open.

    `piece_bytes` are sent in a round. A client that never reads leaves its answers in
    the buffers of the connection.
    """

    size: int
    data: bytes
    piece_bytes: int = PIECE_BYTES
    reads: bool = True


class Client:
    """One client, over a socket that does not block."""

    def __init__(self, address, attack):
        self._address = address
        self._attack = attack
        self._lives = LIVES
        self._socket = None
        self._sent = 0
        self._open()

    def _open(self):
        self._lives -= 1
        self._sent = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        if not self._attack.reads:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self._socket.connect_ex(self._address)

    def advance(self):
        """Send and read what is possible now; return whether anything was."""
        if self._socket is None:
            return False
        try:
            return bool(self._send()) | bool(self._attack.reads and self._receive())
        except OSError:
            self.close()
            if self._lives:
                self._open()
            return True

    def _send(self):
        attack = self._attack
        part = attack.data[self._sent : self._sent + attack.piece_bytes]
        if not part:
            return 0
        try:
            count = self._socket.send(part)
        except BlockingIOError:
            return 0
        self._sent += count
        return count

    def _receive(self):
        try:
            data = self._socket.recv(PIECE_BYTES)
        except BlockingIOError:
            return 0
        if not data:
            raise ConnectionResetError
        return len(data)

    def close(self):
        if self._socket is not None:
            self._socket.close()
        self._socket = None


@contextlib.asynccontextmanager
async def open_crowd(address, attack):
    """Let a crowd do what it can, and leave its connections open."""
    clients = [Client(address, attack) for _ in range(attack.size)]
    try:
        await advance(clients)
        yield clients
    finally:
        for client in clients:
            client.close()


async def advance(clients):
    """Let clients go on until no byte moves, or for `MAX_ROUNDS`."""
    still = 0
    for _ in range(MAX_ROUNDS):
        moved = [client.advance() for client in clients]
        still = 0 if any(moved) else still + 1
        if still > STILL_ROUNDS:
            return
        await anyio.sleep(ROUND_S)


class VmUnderAttack:
    """The process of a VM, of which memory and descriptors are observed."""

    def __init__(self, directory, *, ip, store_address, memory_mb, max_fds):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self._log_path = directory / "vm.log"
        settings = directory / "vm.settings"
        settings.write_text(
            f"node_name=vm1\nzone=z1\nip={ip}\n"
            f"listen.front={ip}:18144\nlisten.ready={ip}:18140\n"
            f"port_range=17660,17675\nplatform.address={store_address}\n"
            f"limits.memory_mb={memory_mb}\nlimits.max_fds={max_fds}\n"
        )
        with self._log_path.open("wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform")],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, SETTINGS_VARIABLE: str(settings)},
            )
        self._observed = psutil.Process(self._process.pid)

    def check(self):
        """Check that it lives and has stayed within its machine."""
        assert self._process.poll() is None, self.log_end
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        peak_kb = int(status.partition("VmHWM:")[2].split()[0])
        assert peak_kb <= self.memory_mb * KB, f"peak of {peak_kb} KB"
        open_fds = self._observed.num_fds()
        assert open_fds <= self.max_fds, f"{open_fds} descriptors"

    @property
    def log_end(self):
        return self._log_path.read_text(errors="replace")[-2_000:]

    def kill(self):
        self._process.kill()
        self._process.wait()
