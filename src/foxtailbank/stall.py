"""Detection of stalled streams."""

import dataclasses
import enum

INITIAL_GAP_MS = 50.0
INITIAL_FIRST_CHUNK_MS = 100.0
MIN_DEADLINE_MS = 250.0
MAX_EXCESS_MS = 700.0
_SMOOTHING_WEIGHT = 0.1
_MEAN_FACTOR = 8.0
_DEVIATION_FACTOR = 6.0


class StallAction(enum.Enum):
    """Action on a stream that may have stalled.

    Attributes
    ----------
    WAIT
        Keep waiting.
    PROBE
        Resume the stream at its index on a new connection; if that works, drop the
        pooled connections to the endpoint.
    FAIL_OVER
        The endpoint did not answer on a new connection either; resume the stream on
        another endpoint.
    """

    WAIT = "wait"
    PROBE = "probe"
    FAIL_OVER = "leave"


@dataclasses.dataclass(kw_only=True)
class _MovingEstimate:
    mean_ms: float
    deviation_ms: float

    def add(self, value_ms: float) -> None:
        error_ms = value_ms - self.mean_ms
        self.mean_ms += _SMOOTHING_WEIGHT * error_ms
        self.deviation_ms += _SMOOTHING_WEIGHT * (abs(error_ms) - self.deviation_ms)

    def deadline_ms(self) -> float:
        bound_ms = self.mean_ms + _DEVIATION_FACTOR * self.deviation_ms
        deadline_ms = max(self.mean_ms * _MEAN_FACTOR, bound_ms, MIN_DEADLINE_MS)
        return min(deadline_ms, self.mean_ms + MAX_EXCESS_MS)


class EndpointGaps:
    """Moving estimate of the gaps between chunks, over all streams of an endpoint.

    A deadline is a multiple of the mean gap, but exceeds the mean by at most
    `MAX_EXCESS_MS`, which bounds the delay that a stalled connection causes.

    Parameters
    ----------
    initial_gap_ms : float
        Assumed mean gap before the first sample, in milliseconds.
    initial_first_chunk_ms : float
        Assumed mean time to the first chunk before the first sample, in milliseconds.
    """

    def __init__(
        self,
        *,
        initial_gap_ms: float = INITIAL_GAP_MS,
        initial_first_chunk_ms: float = INITIAL_FIRST_CHUNK_MS,
    ) -> None:
        self._gaps = _MovingEstimate(mean_ms=initial_gap_ms, deviation_ms=0.0)
        self._first_chunks = _MovingEstimate(
            mean_ms=initial_first_chunk_ms, deviation_ms=0.0
        )

    def on_gap(self, gap_ms: float) -> None:
        """Record the time between two chunks of a stream, in milliseconds."""
        self._gaps.add(gap_ms)

    def on_first_chunk(self, wait_ms: float) -> None:
        """Record the time to the first chunk of a stream, in milliseconds."""
        self._first_chunks.add(wait_ms)

    def gap_deadline_ms(self) -> float:
        """Return the gap between chunks that counts as a stall, in milliseconds."""
        return self._gaps.deadline_ms()

    def first_chunk_deadline_ms(self) -> float:
        """Return the wait for a first chunk that counts as a stall, in milliseconds."""
        return self._first_chunks.deadline_ms()


class StallDetector:
    """Detects a stall of one stream.

    Parameters
    ----------
    gaps : EndpointGaps
        Gap estimate of the stream's endpoint.
    started_ms : int
        When the stream was opened, in milliseconds.
    """

    def __init__(self, *, gaps: EndpointGaps, started_ms: int) -> None:
        self._gaps = gaps
        self._last_ms = started_ms
        self._chunks = 0
        self._is_probing = False

    def on_chunk(self, now_ms: int) -> None:
        """Record the arrival of a chunk.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        """
        waited_ms = now_ms - self._last_ms
        if self._chunks == 0:
            self._gaps.on_first_chunk(waited_ms)
        elif not self._is_probing:
            self._gaps.on_gap(waited_ms)
        self._chunks += 1
        self._is_probing = False
        self._last_ms = now_ms

    def next_check_ms(self) -> int:
        """Return when to call `check` next, in milliseconds."""
        if self._chunks == 0:
            return self._last_ms + round(self._gaps.first_chunk_deadline_ms())
        return self._last_ms + round(self._gaps.gap_deadline_ms())

    def check(self, now_ms: int) -> StallAction:
        """Return the action that is due now.

        Parameters
        ----------
        now_ms : int
            Current time in milliseconds.
        """
        if now_ms < self.next_check_ms():
            return StallAction.WAIT
        self._last_ms = now_ms
        if self._is_probing:
            return StallAction.FAIL_OVER
        self._is_probing = True
        return StallAction.PROBE
