"""Injectable faults of the platform stand-in."""

import typing as t

from foxtailbank_bench.faults import Faults

SLOW_LOG_DELAY_MS = 500

Availability: t.TypeAlias = t.Literal["up", "down"]


class PlatformFaults(Faults):
    """Change of the platform's faults; omitted fields keep their value.

    Attributes
    ----------
    log : str
        ``up``, ``down`` or ``slow``.
    delay_ms : int
        Delay of each log request, in milliseconds. A change of `log` without it
        sets it: to `SLOW_LOG_DELAY_MS` for ``slow``, otherwise to 0.
    lose_answers : int
        Number of next appends that take effect but get no response.
    retention_records : mapping of str to int
        Maximum number of records kept, by stream; 0 keeps all.
    appends_per_s : int
        Append rate of the log; 0 is unlimited.
    vm_list, weights : str
        ``up`` or ``down``.
    vm_list_lag_ms : int
        Age of the VM list that reads return, in milliseconds.
    weight_rate_bytes_per_s : int
        Read rate of the weight store, shared by all readers.
    """

    log: t.Literal["up", "down", "slow"] | None = None
    delay_ms: int | None = None
    lose_answers: int | None = None
    retention_records: dict[str, int] | None = None
    appends_per_s: int | None = None
    vm_list: Availability | None = None
    vm_list_lag_ms: int | None = None
    weights: Availability | None = None
    weight_rate_bytes_per_s: int | None = None

    def __post_init__(self) -> None:
        if self.log is not None and self.delay_ms is None:
            self.delay_ms = SLOW_LOG_DELAY_MS if self.log == "slow" else 0


def no_faults() -> PlatformFaults:
    """Return the initial state, in which everything works."""
    return PlatformFaults(log="up", lose_answers=0, vm_list="up", weights="up")
