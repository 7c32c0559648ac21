"""Benchmark phases on one fleet under one policy."""

import datetime
import json
import pathlib
import subprocess
import sys
import time
import typing as t

import msgspec

from foxtailbank.entry import key_hash
from foxtailbank.events import Event
from foxtailbank_bench.demo_catalogue import CALLER_KEY
from foxtailbank_bench.fleet_client import FleetClient, completion_item
from foxtailbank_bench.launcher import Launcher
from foxtailbank_bench.load import LoadJob, LoadResult
from foxtailbank_bench.ports import free_ports
from foxtailbank_bench.scenario import MS_PER_S, NamedPolicy, Scenario

WARM_UP_S = 4.0
PREEMPTION_WINDOW_MS = 500
LOAD_TIMEOUT_S = 120.0
NO_LIMIT_PER_S = 100_000
DEADLINE_MS = 3_600_000


class Durations(msgspec.Struct, frozen=True, kw_only=True):
    """Duration of each phase, in seconds."""

    online_s: float
    batch_s: float
    both_s: float


class MixedPhase(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a phase with online load and a batch backlog.

    Attributes
    ----------
    online : LoadResult
        Online latencies and counts.
    batch_tokens_per_s : float
        Tokens of completed items, per second.
    yield_ms : tuple of int
        For each burst, time until the last batch stream that it preempted was
        cancelled, in milliseconds; bursts that preempted none are omitted.
    """

    online: LoadResult
    batch_tokens_per_s: float
    yield_ms: tuple[int, ...]


class PolicyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one policy.

    Attributes
    ----------
    policy : str
        Name of the policy.
    alone : tuple of LoadResult
        Online load without batch work, one result for each seed.
    batch_alone_tokens_per_s : float
        Tokens of completed items per second, without online load.
    both : tuple of MixedPhase
        Online load and batch work together, one result for each seed.
    """

    policy: str
    alone: tuple[LoadResult, ...]
    batch_alone_tokens_per_s: float
    both: tuple[MixedPhase, ...]


class PolicyRun:
    """Runs the phases of a scenario on one fleet under one policy.

    Parameters
    ----------
    scenario : Scenario
        Deployment and load.
    policy : NamedPolicy
        Batch policy of the daemons.
    directory : pathlib.Path
        Directory for settings and process output.
    durations : Durations
        Duration of the phases.
    seeds : sequence of int
        Random seeds of the online load, one run each.
    """

    def __init__(
        self,
        *,
        scenario: Scenario,
        policy: NamedPolicy,
        directory: pathlib.Path,
        durations: Durations,
        seeds: t.Sequence[int],
    ) -> None:
        self._scenario = scenario
        self._policy = policy
        self._durations = durations
        self._seeds = seeds
        deployment = scenario.deployment(
            first_port=free_ports(2 * scenario.entry_vms), policy=policy.settings
        )
        self._launcher = Launcher(deployment=deployment, directory=directory)
        self._client = FleetClient(launcher=self._launcher)

    def run(self) -> PolicyResult:
        """Start the fleet, run all phases and stop it."""
        try:
            self._launcher.start()
            for name, entry in self._catalogue_entries().items():
                self._client.edit_entry(name, entry)
            return self._run_phases()
        finally:
            self._client.close()
            self._launcher.stop()

    def _run_phases(self) -> PolicyResult:
        self._run_online_load(1, seed=0)
        alone = [
            self._run_online_load(self._durations.online_s, seed=s) for s in self._seeds
        ]
        job_id = self._submit_backlog()
        time.sleep(WARM_UP_S)
        completed_before = self._completed_items(job_id)
        started_s = time.monotonic()
        time.sleep(self._durations.batch_s)
        batch_alone_tokens_per_s = self._batch_tokens_per_s(
            job_id, completed_before, started_s
        )
        both = [self._run_mixed_phase(job_id, seed) for seed in self._seeds]
        return PolicyResult(
            policy=self._policy.name,
            alone=tuple(alone),
            batch_alone_tokens_per_s=batch_alone_tokens_per_s,
            both=tuple(both),
        )

    def _run_mixed_phase(self, job_id: str, seed: int) -> MixedPhase:
        completed_before = self._completed_items(job_id)
        started_s = time.monotonic()
        online = self._run_online_load(self._durations.both_s, seed=seed)
        return MixedPhase(
            online=online,
            batch_tokens_per_s=self._batch_tokens_per_s(
                job_id, completed_before, started_s
            ),
            yield_ms=self._preemption_delays_ms(online.bursts_wall_ms),
        )

    def _run_online_load(self, duration_s: float, *, seed: int) -> LoadResult:
        job = LoadJob(
            addresses=self._client.addresses,
            key=CALLER_KEY,
            model=self._scenario.model,
            load=self._scenario.online,
            duration_s=duration_s,
            seed=seed,
        )
        process = subprocess.run(
            [sys.executable, "-m", "foxtailbank_bench.load"],
            input=msgspec.json.encode(job),
            stdout=subprocess.PIPE,
            timeout=LOAD_TIMEOUT_S,
            check=True,
        )
        return msgspec.json.decode(process.stdout, type=LoadResult)

    def _submit_backlog(self) -> str:
        # Lengths vary because items of equal length would all complete at the same
        # times.
        tokens = self._scenario.batch.item_tokens()
        lines = [
            completion_item(
                f"item-{number}",
                prompt=f"Notice number {number}",
                max_tokens=count,
                model=self._scenario.model,
            )
            for number, count in enumerate(tokens)
        ]
        return self._client.submit(
            self._client.addresses[0], entry="backlog", lines=lines
        )

    def _completed_items(self, job_id: str) -> int:
        status = self._client.status(self._client.addresses[0], job_id)
        if not status.counts.pending:
            raise RuntimeError(
                "batch backlog exhausted before the end of the experiment"
            )
        return status.counts.completed

    def _batch_tokens_per_s(
        self, job_id: str, completed_before: int, started_s: float
    ) -> float:
        items = self._completed_items(job_id) - completed_before
        return items * self._scenario.batch.tokens / (time.monotonic() - started_s)

    def _preemption_delays_ms(self, bursts_wall_ms: t.Sequence[int]) -> tuple[int, ...]:
        times_ms = sorted(self._preemption_times_ms())
        delays_ms = []
        for burst_ms in bursts_wall_ms:
            within_window_ms = [
                at_ms - burst_ms
                for at_ms in times_ms
                if 0 <= at_ms - burst_ms <= PREEMPTION_WINDOW_MS
            ]
            if within_window_ms:
                delays_ms.append(max(within_window_ms))
        return tuple(delays_ms)

    def _preemption_times_ms(self) -> t.Iterator[int]:
        for spec in self._launcher.deployment.entries:
            output = self._launcher.programs_by_name[spec.name].output
            for line in output.read_text().splitlines():
                if f'"{Event.BATCH_PREEMPTED.value}"' in line:
                    yield _parse_wall_ms(json.loads(line)["time"])

    def _catalogue_entries(self) -> dict[str, dict[str, t.Any]]:
        common = {
            "owner": self._scenario.name,
            "key_hashes": [key_hash(CALLER_KEY)],
            "kind": "engine",
            "pool": self._scenario.model,
            "model": self._scenario.model,
        }
        limits = {
            "requests_per_s": NO_LIMIT_PER_S,
            "concurrency": NO_LIMIT_PER_S,
            "tokens_per_s": NO_LIMIT_PER_S * 10,
        }
        backlog = limits | {"deadline_ms": DEADLINE_MS}
        return {
            "online": {**common, "work_class": "online", "limits": limits},
            "backlog": {**common, "work_class": "batch", "limits": backlog},
        }


def _parse_wall_ms(text: str) -> int:
    timestamp = datetime.datetime.fromisoformat(text)
    return round(timestamp.timestamp() * MS_PER_S)
