"""Shows what a small fleet does; `make demo`."""

import pathlib
import sys
import tempfile
import time

import httpx

from foxtailbank import cli
from foxtailbank.cli_context import Context
from foxtailbank_bench.demo_steps import DemoFailed, DemoSteps, expect, say
from foxtailbank_bench.deployment import demo_deployment
from foxtailbank_bench.fleet_client import FleetClient
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher, LaunchFailed
from foxtailbank_bench.ports import NoFreePorts, free_ports

ENTRIES = 3
BOUND_S = 60.0


def main() -> int:
    """Run the demo.

    Returns
    -------
    int
        0 if all was as expected.
    """
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        try:
            _run(pathlib.Path(directory))
            took_s = time.monotonic() - started_s
            expect(took_s < BOUND_S, f"the demo took {took_s:.1f} s")
        except (DemoFailed, LaunchFailed, NoFreePorts, httpx.HTTPError) as failure:
            say(f"demo failed: {failure}")
            return 1
    say(f"done in {took_s:.1f} s")
    return 0


def _run(directory: pathlib.Path) -> None:
    first = free_ports(2 * ENTRIES)
    deployment = demo_deployment(http_port=first, peer_port=first + ENTRIES)
    launcher = Launcher(deployment=deployment, directory=directory)
    client = FleetClient(launcher=launcher)
    try:
        launcher.start()
        zones = ", ".join(deployment.zones)
        say(f"fleet: {len(launcher.programs_by_name)} processes in {zones}")
        steps = DemoSteps(launcher=launcher, client=client)
        steps.run()
        _report(client.addresses[0])
    finally:
        client.close()
        codes = launcher.stop()
    failed = {name: code for name, code in codes.items() if code}
    expect(not failed, f"exit codes at the stop: {failed}")
    say("stopped: every process ended with 0")


def _report(address: str) -> None:
    say("\n$ foxtailbank report burn")
    context = Context(
        stdin=sys.stdin.buffer,
        stdout=sys.stdout,
        stderr=sys.stderr,
        environment={
            "FOXTAILBANK_ADDRESS": address,
            "FOXTAILBANK_ADMIN_KEY": ADMIN_KEY,
        },
    )
    code = cli.run(["report", "burn"], context)
    say("")
    expect(code == 0, f"the burn report ended with {code}")


if __name__ == "__main__":
    sys.exit(main())
