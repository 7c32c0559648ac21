"""Benchmark of batch policies under load on real processes; run by `make bench`."""

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
    summarise,
    summary_table,
    write_plot,
)
from foxtailbank_bench.policy_run import Durations, PolicyRun
from foxtailbank_bench.scenario import compared_policies, read_scenario

DEFAULT_SCENARIO = "bench/scenarios/mwangaza.toml"
DEFAULT_OUTPUT_DIRECTORY = "bench/results"
FULL_DURATIONS = Durations(online_s=6, batch_s=6, both_s=6)
QUICK_DURATIONS = Durations(online_s=5, batch_s=5, both_s=5)
SEEDS = (1, 2, 3)


def main() -> int:
    """Run the experiment and return the exit code."""
    options = _parser().parse_args()
    scenario = read_scenario(options.scenario)
    started_s = time.monotonic()
    results = []
    for policy in compared_policies(scenario):
        with tempfile.TemporaryDirectory(prefix="foxtailbank-") as directory:
            run = PolicyRun(
                scenario=scenario,
                policy=policy,
                directory=pathlib.Path(directory),
                durations=QUICK_DURATIONS if options.quick else FULL_DURATIONS,
                seeds=SEEDS[:1] if options.quick else SEEDS,
            )
            results.append(run.run())
        _print_line(f"{policy.name}: done after {time.monotonic() - started_s:.0f} s")
    report = ExperimentReport(
        scenario=scenario.name,
        targets=TARGETS,
        load_average=os.getloadavg()[0],
        summaries=tuple(summarise(scenario, result) for result in results),
        results=tuple(results),
    )
    _write_report(report, options.output)
    _print_line(TARGETS)
    _print_line(
        f"machine: {os.cpu_count()} cores, load average {report.load_average:.1f}"
    )
    _print_line(summary_table(report.summaries))
    return 0


def _write_report(report: ExperimentReport, directory: pathlib.Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    content = msgspec.json.format(msgspec.json.encode(report))
    (directory / f"{report.scenario}.json").write_bytes(content)
    try:
        write_plot(report, directory / f"{report.scenario}.png")
    except ImportError:
        _print_line("plot skipped: matplotlib is missing (install the `report` extra)")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", type=pathlib.Path, default=DEFAULT_SCENARIO)
    parser.add_argument("--output", type=pathlib.Path, default=DEFAULT_OUTPUT_DIRECTORY)
    parser.add_argument("--quick", action="store_true", help="one seed, short phases")
    return parser


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
