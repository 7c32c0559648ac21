"""Runs the demo fleet in the foreground until Ctrl-C."""

import pathlib
import signal
import sys
import tempfile

from foxtailbank_bench.demo_catalogue import CALLER_KEY, demo_entries, put_entry
from foxtailbank_bench.deployment import demo_deployment
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher


def main() -> int:
    """Run the fleet; return 0 if every process exited with 0."""
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGINT, _interrupt)
    deployment = demo_deployment()
    with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
        launcher = Launcher(deployment=deployment, directory=pathlib.Path(directory))
        try:
            launcher.start()
            address = deployment.entries[0].http_address
            for name, entry in demo_entries().items():
                put_entry(address, name, entry, admin_key=ADMIN_KEY)
            for spec in deployment.entries:
                _print_line(f"{spec.name} in {spec.zone}: http://{spec.http_address}")
            _print_line(
                f"caller key {CALLER_KEY}, admin key {ADMIN_KEY}, model wordsmith"
            )
            _print_line("Ctrl-C stops the fleet")
            signal.pause()
        except KeyboardInterrupt:
            _print_line("stopping")
        finally:
            exit_codes = launcher.stop()
    return 0 if not any(exit_codes.values()) else 1


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
