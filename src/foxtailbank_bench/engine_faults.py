"""Injectable faults of the engine stand-in."""

from foxtailbank_bench.faults import Faults

DEFAULT_CRASH_MARKER = "__crash__"


class EngineFaults(Faults):
    """Change to the engine's faults; omitted fields keep their value.

    Attributes
    ----------
    crash_marker : str
        The process exits when a prompt with this text enters the batch.
    stall_open : bool
        True stalls all connections used so far: nothing more is sent on them.
    drain : bool
        Whether the engine is shutting down and admits no new requests.
    reject : bool
        Whether the engine admits no new requests, without shutting down.
    slow_factor : float
        Multiplies the duration of each step.
    report_lag_ms : int
        Age of load reports and cache events, in milliseconds.
    """

    crash_marker: str | None = None
    stall_open: bool | None = None
    drain: bool | None = None
    reject: bool | None = None
    slow_factor: float | None = None
    report_lag_ms: int | None = None


def default_faults() -> EngineFaults:
    """Return the faults of a new engine."""
    return EngineFaults(crash_marker=DEFAULT_CRASH_MARKER, drain=False, reject=False)
