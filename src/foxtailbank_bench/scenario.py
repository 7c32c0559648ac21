"""Scenarios of experiments, read from TOML."""

import dataclasses
import pathlib
import random

import msgspec

from foxtailbank_bench.deployment import (
    Deployment,
    engine_specs,
    entry_specs,
    service_specs,
)

MS_PER_S = 1_000
LENGTH_SEED = 7
Policy = tuple[tuple[str, str | int | bool], ...]


class EngineSpeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Speed of the engine stand-ins.

    Attributes
    ----------
    base_step_ms, per_stream_ms : float
        Duration of a step, and its growth with each stream.
    max_running : int
        Streams in the running batch.
    report_lag_ms : int
        Age of the load reports.
    """

    base_step_ms: float
    per_stream_ms: float
    max_running: int
    report_lag_ms: int

    @property
    def max_tokens_per_s(self) -> float:
        """Tokens a second of one engine with a full batch and no prefill."""
        step_ms = self.base_step_ms + self.per_stream_ms * self.max_running
        return self.max_running * MS_PER_S / step_ms


class OnlineLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Open-loop online load.

    Attributes
    ----------
    requests_per_s : float
        Mean rate of single requests.
    tokens : int
        Tokens of each answer.
    burst_requests : int
        Requests that come at once, beside the single ones.
    burst_period_s : float
        Time between bursts.
    """

    requests_per_s: float
    tokens: int
    burst_requests: int
    burst_period_s: float


class BatchLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Batch backlog.

    Attributes
    ----------
    items : int
        Items of the job.
    tokens : int
        Mean tokens of an answer; they vary from half of it to three halves.
    """

    items: int
    tokens: int

    def item_tokens(self) -> tuple[int, ...]:
        """Return the tokens of each item."""
        rng = random.Random(LENGTH_SEED)
        half = self.tokens // 2
        return tuple(rng.randint(half, 3 * half) for _ in range(self.items))


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and its load."""

    name: str
    zones: tuple[str, ...]
    entry_vms: int
    model: str
    engines: int
    service: str
    workers: int
    engine: EngineSpeed
    online: OnlineLoad
    batch: BatchLoad

    @property
    def max_tokens_per_s(self) -> float:
        """Tokens a second that all engines give at most."""
        return self.engines * self.engine.max_tokens_per_s

    def deployment(self, *, first_port: int, policy: Policy = ()) -> Deployment:
        """Return what to start.

        Parameters
        ----------
        first_port : int
            First of twice as many free ports as there are entry VMs.
        policy : tuple of (str, str, int or bool)
            Settings of the section ``policy``.
        """
        speed = self.engine
        arguments = (
            f"--base-step-ms={speed.base_step_ms}",
            f"--per-stream-ms={speed.per_stream_ms}",
            f"--max-running={speed.max_running}",
            f"--report-lag-ms={speed.report_lag_ms}",
        )
        engines = engine_specs(
            zones=self.zones, count=self.engines, model=self.model, arguments=arguments
        )
        workers = service_specs(
            zones=self.zones, count=self.workers, service=self.service
        )
        entries = entry_specs(
            zones=self.zones,
            count=self.entry_vms,
            http_port=first_port,
            peer_port=first_port + self.entry_vms,
        )
        return Deployment(
            zones=self.zones,
            entries=entries,
            endpoints=(*engines, *workers),
            timing=(("drain_notice_ms", 200),),
            policy=policy,
        )


def read_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    msgspec.DecodeError
        The file is no valid scenario.
    """
    return msgspec.toml.decode(path.read_bytes(), type=Scenario)


@dataclasses.dataclass(frozen=True, kw_only=True)
class NamedPolicy:
    """A policy under test.

    Attributes
    ----------
    name : str
        Its name in results.
    settings : tuple of (str, str, int or bool)
        Settings of the section ``policy``.
    """

    name: str
    settings: Policy


def policies_of(scenario: Scenario) -> tuple[NamedPolicy, ...]:
    """Return the product's policy and the baselines."""
    half = scenario.engine.max_running // 2
    return (
        NamedPolicy(name="adaptive", settings=()),
        NamedPolicy(name="no yield notice", settings=(("yield_notice", False),)),
        NamedPolicy(
            name="static partition",
            settings=(("batch_limit", "static"), ("static_batch_streams", half)),
        ),
        NamedPolicy(
            name="pass-through FIFO",
            settings=(
                ("router", "fifo"),
                ("batch_limit", "unlimited"),
                ("yield_notice", False),
            ),
        ),
    )
