"""Faults of the engine stand-in."""

from foxtailbank_bench.faults import Faults

DEFAULT_CRASH_MARKER = "__crash__"


class EngineFaults(Faults):
    """Change of the engine's faults; what is left out stays as it is.

    Attributes
    ----------
    crash_marker : str
        The process ends when a prompt with this text enters the batch.
    stall_open : bool
        True lets all connections used so far send nothing any more.
    drain : bool
        Whether the engine is leaving: it admits nothing new.
    reject : bool
        Whether the engine admits nothing, without leaving.
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


def no_faults() -> EngineFaults:
    """Return the faults of a new engine."""
    return EngineFaults(crash_marker=DEFAULT_CRASH_MARKER, drain=False, reject=False)
