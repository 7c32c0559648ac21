"""Runs the demo as a user does."""

import subprocess
import sys

TIMEOUT_S = 120


def test_demo_shows_all_steps_and_succeeds():
    command = [sys.executable, "-m", "foxtailbank_bench.demo"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert result.returncode == 0, result.stdout + result.stderr
    labels = [line.partition(":")[0] for line in result.stdout.splitlines()]
    for step in (
        "online",
        "records lookup",
        "billed call",
        "batch",
        "cancelled batch",
        "catalogue edit",
    ):
        assert step in labels, result.stdout
    assert "tributes" in result.stdout
