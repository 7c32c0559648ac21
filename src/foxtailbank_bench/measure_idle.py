"""Measures processor time and memory of an idle entry VM by number of endpoints.

Starts the demo deployment and registers further endpoints in the VM list. They all
have the address of one demo engine, so that no more engines need to run.
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

ENDPOINT_COUNTS = (6, 60, 600, 2_000)
SETTLE_S = 4.0
MEASURE_S = 10.0
HTTP_PORT = 18_401
PEER_PORT = 18_501
MIB = 1024 * 1024


def main() -> int:
    """Print one JSON line for each number of endpoints."""
    deployment = demo_deployment(http_port=HTTP_PORT, peer_port=PEER_PORT)
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        launcher = Launcher(deployment=deployment, directory=pathlib.Path(directory))
        try:
            launcher.start()
            registered_count = len(deployment.endpoints)
            for endpoint_count in ENDPOINT_COUNTS:
                _register_endpoints(launcher, registered_count, endpoint_count)
                registered_count = endpoint_count
                _measure(launcher, endpoint_count)
        finally:
            launcher.stop()
    return 0


def _register_endpoints(launcher: Launcher, start: int, stop: int) -> None:
    platform = launcher.address("platform")
    engine = launcher.address("wordsmith-1")
    with httpx.Client(trust_env=False) as client:
        for number in range(start, stop):
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


def _measure(launcher: Launcher, endpoint_count: int) -> None:
    time.sleep(SETTLE_S)
    name = launcher.deployment.entries[0].name
    process = psutil.Process(launcher.programs_by_name[name].process.pid)
    before = process.cpu_times()
    time.sleep(MEASURE_S)
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    line = {
        "endpoints": endpoint_count,
        "processor_percent_of_a_core": round(100 * used_s / MEASURE_S, 2),
        "resident_mib": round(process.memory_info().rss / MIB, 1),
        "measured_ms": int(MEASURE_S * MS_PER_S),
    }
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
