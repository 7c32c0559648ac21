"""Benchmark scenarios, read from TOML files."""

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
ITEM_LENGTH_SEED = 7
PolicySettings = tuple[tuple[str, str | int | bool], ...]


class EngineSpeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Performance of the simulated engines.

    Attributes
    ----------
    base_step_ms, per_stream_ms : float
        Duration of a decoding step, and what each stream adds to it, in milliseconds.
    max_running : int
        Maximum number of streams in the running batch.
    report_lag_ms : int
        Age of the load reports, in milliseconds.
    """

    base_step_ms: float
    per_stream_ms: float
    max_running: int
    report_lag_ms: int

    @property
    def max_tokens_per_s(self) -> float:
        """Tokens per second of one engine with a full batch and no prefill."""
        step_ms = self.base_step_ms + self.per_stream_ms * self.max_running
        return self.max_running * MS_PER_S / step_ms


class OnlineLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Open-loop online load.

    Attributes
    ----------
    requests_per_s : float
        Mean rate of the requests outside bursts.
    tokens : int
        Output tokens of each request.
    burst_requests : int
        Requests of a burst, all sent at one time; they add to `requests_per_s`.
    burst_period_s : float
        Time between bursts, in seconds.
    """

    requests_per_s: float
    tokens: int
    burst_requests: int
    burst_period_s: float


class BatchLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backlog of batch items.

    Attributes
    ----------
    items : int
        Number of items of the job.
    tokens : int
        Mean output tokens of an item; the items range from 0.5 to 1.5 times the mean.
    """

    items: int
    tokens: int

    def item_tokens(self) -> tuple[int, ...]:
        """Return the number of output tokens of each item."""
        rng = random.Random(ITEM_LENGTH_SEED)
        half = self.tokens // 2
        return tuple(rng.randint(half, 3 * half) for _ in range(self.items))


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and the load on it."""

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
        """Maximum throughput of all engines together, in tokens per second."""
        return self.engines * self.engine.max_tokens_per_s

    def deployment(self, *, first_port: int, policy: PolicySettings = ()) -> Deployment:
        """Return the deployment of the scenario.

        Parameters
        ----------
        first_port : int
            First of a range of free ports, two for each entry VM.
        policy : tuple of (str, str, int or bool)
            Settings for the section ``policy``.
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
        If the file is not a valid scenario.
    """
    return msgspec.toml.decode(path.read_bytes(), type=Scenario)


@dataclasses.dataclass(frozen=True, kw_only=True)
class NamedPolicy:
    """A batch policy under comparison.

    Attributes
    ----------
    name : str
        Name in results.
    settings : tuple of (str, str, int or bool)
        Settings for the section ``policy``.
    """

    name: str
    settings: PolicySettings


def compared_policies(scenario: Scenario) -> tuple[NamedPolicy, ...]:
    """Return the default policy and the baselines that it is compared with."""
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
