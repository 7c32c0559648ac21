"""Compares policies under load on real processes; `make bench`."""

import argparse
import os
import pathlib
import sys
import tempfile
import time

import msgspec

from foxtailbank_bench.experiment_report import (
    TARGETS,
    ExperimentReport,
    plot,
    summarise,
    table,
)
from foxtailbank_bench.policy_run import Durations, PolicyRun
from foxtailbank_bench.scenario import policies_of, read_scenario

SCENARIO = "bench/scenarios/mwangaza.toml"
OUTPUT = "bench/results"
WHOLE = Durations(online_s=6, batch_s=6, both_s=6)
QUICK = Durations(online_s=5, batch_s=5, both_s=5)
SEEDS = (1, 2, 3)


def main() -> int:
    """Run the experiment; return 0."""
    options = _parser().parse_args()
    scenario = read_scenario(options.scenario)
    started_s = time.monotonic()
    results = []
    for policy in policies_of(scenario):
        with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
            run = PolicyRun(
                scenario=scenario,
                policy=policy,
                directory=pathlib.Path(directory),
                durations=QUICK if options.quick else WHOLE,
                seeds=SEEDS[:1] if options.quick else SEEDS,
            )
            results.append(run.run())
        _say(f"{policy.name}: done after {time.monotonic() - started_s:.0f} s")
    report = ExperimentReport(
        scenario=scenario.name,
        targets=TARGETS,
        load_average=os.getloadavg()[0],
        summaries=tuple(summarise(scenario, one) for one in results),
        results=tuple(results),
    )
    _write(report, options.output)
    _say(TARGETS)
    _say(f"machine: {os.cpu_count()} cores, load average {report.load_average:.1f}")
    _say(table(report.summaries))
    return 0


def _write(report: ExperimentReport, directory: pathlib.Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(report))
    (directory / f"{report.scenario}.json").write_bytes(content)
    try:
        plot(report, directory / f"{report.scenario}.png")
    except ImportError:
        _say("no plot: install the extra `report`")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", type=pathlib.Path, default=SCENARIO)
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    parser.add_argument("--quick", action="store_true", help="one seed, short phases")
    return parser


def _say(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
