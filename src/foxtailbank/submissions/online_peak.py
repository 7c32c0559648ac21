"""Peak of the online load in a moving window.

Meant for load that comes in bursts: between two bursts the peak is still that of the
last one, and it falls only after a pause longer than the window. The peak is unknown
until a whole window was observed without a gap.
"""

import collections
import dataclasses

WINDOW_MS = 8_000  # longer than from one burst to the next, about 6 s
SAMPLE_INTERVAL_MS = 250
MAX_GAP_MS = 1_000  # a burst could begin and end unnoticed in a longer gap


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sample:
    at_ms: int
    share: float


class OnlinePeak:
    """Keeps the highest online share of the last `WINDOW_MS`."""

    def __init__(self) -> None:
        self._samples: collections.deque[_Sample] = collections.deque()
        self._observed_since_ms = 0
        self._peak_share = 0.0

    def is_due(self, now_ms: int) -> bool:
        """Return whether it is time for the next sample."""
        if not self._samples:
            return True
        return now_ms - self._samples[-1].at_ms >= SAMPLE_INTERVAL_MS

    def add(self, share: float, now_ms: int) -> None:
        """Add a sample.

        Parameters
        ----------
        share : float
            Online requests in flight divided by slots.
        now_ms : int
            Current time.
        """
        if self._has_gap(now_ms):
            self.clear()
        if not self._samples:
            self._observed_since_ms = now_ms
        self._samples.append(_Sample(at_ms=now_ms, share=share))
        while now_ms - self._samples[0].at_ms > WINDOW_MS:
            self._samples.popleft()
        self._peak_share = max(sample.share for sample in self._samples)

    def clear(self) -> None:
        """Forget all samples, as after a time in which the load was not known."""
        self._samples.clear()

    def share(self, now_ms: int) -> float | None:
        """Return the peak share, or None if no whole window was observed."""
        if not self._samples or self._has_gap(now_ms):
            return None
        if self._samples[-1].at_ms - self._observed_since_ms < WINDOW_MS:
            return None
        return self._peak_share

    def _has_gap(self, now_ms: int) -> bool:
        return bool(self._samples) and now_ms - self._samples[-1].at_ms > MAX_GAP_MS
