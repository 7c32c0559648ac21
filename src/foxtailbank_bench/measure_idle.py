"""Processor time and memory of an idle entry VM by the number of endpoints.

The VM list names many endpoints that all lead to the demo's few engines.
"""

import json
import pathlib
import sys
import tempfile
import time

import httpx
import psutil

from foxtailbank.clock import MS_PER_S
from foxtailbank_bench.deployment import demo_deployment
from foxtailbank_bench.launcher import Launcher

SIZES = (6, 60, 600, 2_000)
SETTLE_S = 4.0
MEASURE_S = 10.0
HTTP_PORT = 18_401
PEER_PORT = 18_501
MIB = 1024 * 1024


def main() -> int:
    """Print one JSON line for each size."""
    deployment = demo_deployment(http_port=HTTP_PORT, peer_port=PEER_PORT)
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        launcher = Launcher(deployment=deployment, directory=pathlib.Path(directory))
        try:
            launcher.start()
            listed = len(deployment.endpoints)
            for size in SIZES:
                _list_endpoints(launcher, listed, size)
                listed = size
                _measure(launcher, size)
        finally:
            launcher.stop()
    return 0


def _list_endpoints(launcher: Launcher, first: int, last: int) -> None:
    platform = launcher.address("platform")
    engine = launcher.address("wordsmith-1")
    with httpx.Client(trust_env=False) as client:
        for number in range(first, last):
            vm = {
                "vm_id": f"listed-{number}",
                "role": "engine",
                "zone": launcher.deployment.zones[number % 2],
                "address": engine,
                "state": "live",
                "pool": "wordsmith",
            }
            url = f"http://{platform}/vms/{vm['vm_id']}"
            client.put(url, json=vm).raise_for_status()


def _measure(launcher: Launcher, size: int) -> None:
    time.sleep(SETTLE_S)
    name = launcher.deployment.entries[0].name
    process = psutil.Process(launcher.programs_by_name[name].process.pid)
    before = process.cpu_times()
    time.sleep(MEASURE_S)
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    line = {
        "endpoints": size,
        "processor_percent_of_a_core": round(100 * used_s / MEASURE_S, 2),
        "resident_mib": round(process.memory_info().rss / MIB, 1),
        "measured_ms": int(MEASURE_S * MS_PER_S),
    }
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
