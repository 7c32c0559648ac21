"""Engine load reports that are delayed by a fixed lag."""

import collections

from foxtailbank.endpoint import LoadReport

MAX_SAMPLES = 100_000


class LoadHistory:
    """Recent load samples of an engine, reported with a fixed lag.

    Parameters
    ----------
    lag_ms : int
        Age of the load in a report, in milliseconds.
    max_running : int
        Maximum number of streams that the engine runs at once.
    """

    def __init__(self, *, lag_ms: int, max_running: int) -> None:
        self.lag_ms = lag_ms
        self._max_running = max_running
        self._samples: collections.deque[tuple[int, int, int, float]]
        self._samples = collections.deque([(0, 0, 0, 0.0)], maxlen=MAX_SAMPLES)

    def record(
        self, *, now_ms: int, running: int, waiting: int, step_ms: float
    ) -> None:
        """Record the load at a point in time."""
        self._samples.append((now_ms, running, waiting, step_ms))
        self._discard_superseded(now_ms - self.lag_ms)

    def report(self, *, now_ms: int, draining: bool) -> LoadReport:
        """Return the load as of `lag_ms` ago.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        draining : bool
            Whether the engine is draining; reported without lag.
        """
        self._discard_superseded(now_ms - self.lag_ms)
        _, running, waiting, step_ms = self._samples[0]
        return LoadReport(
            age_ms=self.lag_ms,
            running=running,
            waiting=waiting,
            max_running=self._max_running,
            step_ms=step_ms,
            draining=draining,
        )

    def _discard_superseded(self, reported_ms: int) -> None:
        samples = self._samples
        while len(samples) > 1 and samples[1][0] <= reported_ms:
            samples.popleft()
