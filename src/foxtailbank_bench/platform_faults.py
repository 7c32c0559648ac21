"""Faults of the platform stand-in."""

import typing as t

from foxtailbank_bench.faults import Faults

SLOW_LOG_MS = 500

Switch: t.TypeAlias = t.Literal["up", "down"]


class PlatformFaults(Faults):
    """Change of the platform's faults; what is left out stays as it is.

    Attributes
    ----------
    log : str
        ``up``, ``down`` or ``slow``.
    delay_ms : int
        Delay of each log request, in milliseconds; ``up`` alone resets it, ``slow``
        alone sets it to `SLOW_LOG_MS`.
    lose_answers : int
        How many of the next appends take effect without an answer.
    retention_records : mapping of str to int
        Most records kept, by stream; 0 keeps all.
    appends_per_s : int
        Appends that the log takes a second; 0 is unlimited.
    vm_list, weights : str
        ``up`` or ``down``.
    vm_list_lag_ms : int
        Age of the VM list, in milliseconds.
    weight_rate_bytes_per_s : int
        Rate of the weight store for all readers together.
    """

    log: t.Literal["up", "down", "slow"] | None = None
    delay_ms: int | None = None
    lose_answers: int | None = None
    retention_records: dict[str, int] | None = None
    appends_per_s: int | None = None
    vm_list: Switch | None = None
    vm_list_lag_ms: int | None = None
    weights: Switch | None = None
    weight_rate_bytes_per_s: int | None = None

    def __post_init__(self) -> None:
        if self.log is not None and self.delay_ms is None:
            self.delay_ms = SLOW_LOG_MS if self.log == "slow" else 0


def no_faults() -> PlatformFaults:
    """Return the faults of a new platform."""
    return PlatformFaults(log="up", lose_answers=0, vm_list="up", weights="up")
