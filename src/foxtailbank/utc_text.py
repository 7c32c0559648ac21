"""Human-readable wall time."""

import datetime

from foxtailbank.clock import MS_PER_S


def format_utc(at_ms: int) -> str:
    """Format wall time in UTC, to the second.

    Parameters
    ----------
    at_ms : int
        Milliseconds since the Unix epoch.

    Returns
    -------
    str
        ``"2026-12-03 21:55:30 UTC"``.
    """
    utc_time = datetime.datetime.fromtimestamp(at_ms / MS_PER_S, tz=datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S UTC")
