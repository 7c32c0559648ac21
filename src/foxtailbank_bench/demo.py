"""Demo of a small fleet on this machine; run by `make demo`."""

import pathlib
import sys
import tempfile
import time

import httpx

from foxtailbank import cli
from foxtailbank.cli_context import Context
from foxtailbank_bench.demo_steps import DemoFailed, DemoSteps, expect, print_line
from foxtailbank_bench.deployment import demo_deployment
from foxtailbank_bench.fleet_client import FleetClient
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher, LaunchFailed
from foxtailbank_bench.ports import NoFreePorts, free_ports

ENTRY_COUNT = 3
MAX_DURATION_S = 60.0


def main() -> int:
    """Run the demo.

    Returns
    -------
    int
        Exit code: 0 if every step succeeded, 1 otherwise.
    """
    start_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        try:
            _run(pathlib.Path(directory))
            duration_s = time.monotonic() - start_s
            expect(
                duration_s < MAX_DURATION_S,
                f"the demo took {duration_s:.1f} s, limit {MAX_DURATION_S:g} s",
            )
        except (DemoFailed, LaunchFailed, NoFreePorts, httpx.HTTPError) as failure:
            print_line(f"demo failed: {failure}")
            return 1
    print_line(f"done in {duration_s:.1f} s")
    return 0


def _run(directory: pathlib.Path) -> None:
    first_port = free_ports(2 * ENTRY_COUNT)
    deployment = demo_deployment(
        http_port=first_port, peer_port=first_port + ENTRY_COUNT
    )
    launcher = Launcher(deployment=deployment, directory=directory)
    client = FleetClient(launcher=launcher)
    try:
        launcher.start()
        zones = ", ".join(deployment.zones)
        print_line(f"fleet: {len(launcher.programs_by_name)} processes in {zones}")
        steps = DemoSteps(launcher=launcher, client=client)
        steps.run()
        _show_burn_report(client.addresses[0])
    finally:
        client.close()
        exit_codes = launcher.stop()
    failed = {name: code for name, code in exit_codes.items() if code}
    expect(not failed, f"processes that exited with an error: {failed}")
    print_line("stopped: every process exited with 0")


def _show_burn_report(address: str) -> None:
    print_line("\n$ foxtailbank report burn")
    context = Context(
        stdin=sys.stdin.buffer,
        stdout=sys.stdout,
        stderr=sys.stderr,
        environment={
            "FOXTAILBANK_ADDRESS": address,
            "FOXTAILBANK_ADMIN_KEY": ADMIN_KEY,
        },
    )
    exit_code = cli.run(["report", "burn"], context)
    print_line("")
    expect(exit_code == 0, f"`report burn` exited with {exit_code}")


if __name__ == "__main__":
    sys.exit(main())
