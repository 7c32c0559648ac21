"""Processes of entry VMs, started with the command of the deploy file."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tomllib

from standins_3 import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, FIRST_PORT = 8144, 8140, 8146, 7660
READY_TIMEOUT_S = 20.0
PASSED_ON = ("PATH", "HOME", "LANG")
# As of the smaller installations of the users.
SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region=region-1
{zones}
listen.front={ip}:8144
listen.ready={ip}:8140
port_range=7660,7675
seeds=
bootstrap=true
loss_counts=false
limits.cpu_share=0.717
limits.cores=3
limits.memory_mb=170
limits.max_fds=8200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
active_rules=base,drain,config,cost,recover,batch,stream,engine,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4.4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.finish_s=18
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
bounds.quota_over=0.1
platform.address={store}
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
"""


class EntryVm:
    """One entry VM.

    Parameters
    ----------
    name, zone, ip : str
        As in its settings.
    store : str
        Address of the store.
    zones : tuple of str
        All zones.
    directory : pathlib.Path
        For its settings and its output.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        ip: str,
        store: str,
        zones: tuple[str, ...],
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.front = f"{ip}:{FRONT_PORT}"
        self._ready = f"{ip}:{READY_PORT}"
        self._settings = directory / f"{name}.conf"
        self._output = directory / f"{name}.log"
        zone_lines = "\n".join(f"zones.{each}=region-1" for each in zones)
        self._settings.write_text(
            SETTINGS.format(name=name, zone=zone, ip=ip, store=store, zones=zone_lines)
        )
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=_environment(self._settings),
            )

    async def wait_until_ready(self) -> bool:
        """Wait until the VM takes clients; return whether it does."""
        for _ in range(int(READY_TIMEOUT_S / 0.1)):
            headers = {"Host": self._ready}
            answer = await web.call(
                self._ready,
                method="GET",
                target="/foxtailbank/ready",
                headers=headers,
                timeout_s=1.0,
            )
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()


def _environment(settings: pathlib.Path) -> dict[str, str]:
    passed = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
    deps = str(ROOT / "target/deps")
    return {**passed, "PYTHONPATH": deps, "FOXTAILBANK_SETTINGS": str(settings)}
