"""Entry VMs as processes, and the platform that watches their memory."""

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import sys

from review.standins_2.record import Record

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
MB = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
WATCH_S = 0.05
RESTART_S = 0.5
# Fields of the settings file of the small deployment `vdr-thjonusta`.
SETTINGS = """\
role=entry
machine_class=front
serves=front
region=is-sudvestur
port_range={peer_port},{last_port}
bootstrap=true
loss_counts=false
limits.cpu_share=0.717
limits.cores=3
limits.memory_mb={memory_mb}
limits.max_fds=8200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
active_rules=base,drain,config,cost,recover,batch,stream,engine,platform
bounds.stable_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.pass_ms=120
bounds.finish_s=18
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=20
platform.part_mb=200
platform.ttl_min_ms=1000
"""


class Vm:
    """One entry VM, started as the deploy file says.

    Parameters
    ----------
    name, ip, zone : str
        Its name, loopback address and availability zone.
    store : str
        Address of the store.
    directory : pathlib.Path
        Temporary folder.
    record : Record
        Receives a line for each start and end.
    memory_mb : int
        Memory of the machine.

    Attributes
    ----------
    front, ready : str
        Addresses for clients and for the balancer.
    kills : int
        Times that the platform killed it for its memory.
    peak_mb : float
        Most memory that was seen.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        *,
        store: str,
        directory: pathlib.Path,
        record: Record,
        memory_mb: int = 170,
    ) -> None:
        self.name = name
        self.ip = ip
        front, ready, peer = (_free_port(ip) for _ in range(3))
        self.front = f"{ip}:{front}"
        self.ready = f"{ip}:{ready}"
        self.memory_mb = memory_mb
        self.kills = 0
        self.peak_mb = 0.0
        self._record = record
        self._settings = directory / f"{name}.conf"
        self._log = directory / f"{name}.log"
        self._settings.write_text(
            f"node_name={name}\nip={ip}\nzone={zone}\nlisten.front={self.front}\n"
            f"listen.ready={self.ready}\nplatform.address={store}\n"
            + SETTINGS.format(peer_port=peer, last_port=peer + 15, memory_mb=memory_mb),
            encoding="utf-8",
        )
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "platform"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "FOXTAILBANK_SETTINGS": str(self._settings)},
            )
        self._record.write("start", vm=self.name)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._record.write("signal", vm=self.name, number=int(number))
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def memory_used_mb(self) -> float:
        """Return the resident memory of the process; 0 if it does not run."""
        if self._process is None or not self.is_running:
            return 0.0
        try:
            statm = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(statm.split()[1]) * PAGE_BYTES / MB

    async def watch(self) -> None:
        """Kill it above its memory and start it again, as the platform does."""
        while True:
            await asyncio.sleep(WATCH_S)
            used_mb = self.memory_used_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.kills += 1
                self._record.write(
                    "over its memory", vm=self.name, mb=round(used_mb, 1)
                )
                self.kill()
            if not self.is_running:
                await asyncio.sleep(RESTART_S)
                self.start()


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])
