"""Where the time of a batch item went, for the log line of its end."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class ItemTimes:
    """Times of an item on this VM; earlier owners' runs are not in them.

    Attributes
    ----------
    first_start_ms : int or None
        Time from the submission's arrival to the first run here, in milliseconds; None
        before it.
    yield_count : int
        Number of runs that were stopped for online requests.
    """

    first_start_ms: int | None = None
    yield_count: int = 0
    _ended_runs_ms: int = 0
    _running_since_ms: int | None = None

    def on_start(self, *, age_ms: int, now_ms: int) -> None:
        """Count from now on; `age_ms` is the time since the submission's arrival."""
        if self.first_start_ms is None:
            self.first_start_ms = age_ms
        self._running_since_ms = now_ms

    def on_stop(self, now_ms: int) -> None:
        """Count until now."""
        self._ended_runs_ms = self.running_ms(now_ms)
        self._running_since_ms = None

    def running_ms(self, now_ms: int) -> int:
        """Return the time spent in runs, in milliseconds."""
        if self._running_since_ms is None:
            return self._ended_runs_ms
        return self._ended_runs_ms + now_ms - self._running_since_ms
