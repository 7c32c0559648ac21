"""The demo as users run it."""

import subprocess
import sys

BOUND_S = 120


def test_demo_shows_all_and_ends_well():
    command = [sys.executable, "-m", "foxtailbank_bench.demo"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=BOUND_S)
    assert done.returncode == 0, done.stdout + done.stderr
    shown = [line.partition(":")[0] for line in done.stdout.splitlines()]
    for step in (
        "online",
        "records lookup",
        "billed call",
        "batch",
        "cancelled batch",
        "catalogue edit",
    ):
        assert step in shown, done.stdout
    assert "tributes" in done.stdout
