"""Detection of streams whose connection has stalled."""

import dataclasses
import enum

FIRST_GAP_MS = 50.0
FIRST_WAIT_MS = 100.0
MIN_DEADLINE_MS = 250.0
MAX_EXCESS_MS = 700.0
_MEAN_WEIGHT = 0.1
_DEADLINE_FACTOR = 8.0
_DEVIATIONS = 6.0


class StallAction(enum.Enum):
    """What to do about a stream.

    Attributes
    ----------
    WAIT
        Nothing yet.
    PROBE
        Open a new connection and resume the stream at its index; if that works, drop
        the pooled connections to the endpoint.
    LEAVE
        The endpoint does not answer on a new connection either; resume elsewhere.
    """

    WAIT = "wait"
    PROBE = "probe"
    LEAVE = "leave"


@dataclasses.dataclass(kw_only=True)
class _Running:
    mean_ms: float
    deviation_ms: float

    def add(self, value_ms: float) -> None:
        error_ms = value_ms - self.mean_ms
        self.mean_ms += _MEAN_WEIGHT * error_ms
        self.deviation_ms += _MEAN_WEIGHT * (abs(error_ms) - self.deviation_ms)

    def deadline_ms(self) -> float:
        spread_ms = self.mean_ms + _DEVIATIONS * self.deviation_ms
        usual_ms = max(self.mean_ms * _DEADLINE_FACTOR, spread_ms, MIN_DEADLINE_MS)
        return min(usual_ms, self.mean_ms + MAX_EXCESS_MS)


class EndpointGaps:
    """Recent gaps between chunks of one endpoint, over all its streams.

    A deadline is a multiple of the usual gap, and never longer than the usual gap by
    more than `MAX_EXCESS_MS`, which bounds what a stalled connection costs.

    Parameters
    ----------
    first_gap_ms : float
        Gap to expect before any was seen, in milliseconds.
    first_chunk_ms : float
        Time to the first chunk to expect before any was seen, in milliseconds.
    """

    def __init__(
        self,
        *,
        first_gap_ms: float = FIRST_GAP_MS,
        first_chunk_ms: float = FIRST_WAIT_MS,
    ) -> None:
        self._gaps = _Running(mean_ms=first_gap_ms, deviation_ms=0.0)
        self._first = _Running(mean_ms=first_chunk_ms, deviation_ms=0.0)

    def on_gap(self, gap_ms: float) -> None:
        """Take in the time between two chunks of a stream, in milliseconds."""
        self._gaps.add(gap_ms)

    def on_first_chunk(self, wait_ms: float) -> None:
        """Take in the time to the first chunk of a stream, in milliseconds."""
        self._first.add(wait_ms)

    def gap_deadline_ms(self) -> float:
        """Return the gap after which a stream has stalled, in milliseconds."""
        return self._gaps.deadline_ms()

    def first_chunk_deadline_ms(self) -> float:
        """Return the wait for a first chunk after which a stream has stalled."""
        return self._first.deadline_ms()


class StreamWatch:
    """Decides whether one stream has stalled.

    Parameters
    ----------
    gaps : EndpointGaps
        Gaps of the stream's endpoint.
    started_ms : int
        When the stream was opened.
    """

    def __init__(self, *, gaps: EndpointGaps, started_ms: int) -> None:
        self._gaps = gaps
        self._last_ms = started_ms
        self._chunks = 0
        self._probing = False

    def on_chunk(self, now_ms: int) -> None:
        """Note that a chunk arrived.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        waited_ms = now_ms - self._last_ms
        if self._chunks == 0:
            self._gaps.on_first_chunk(waited_ms)
        elif not self._probing:
            self._gaps.on_gap(waited_ms)
        self._chunks += 1
        self._probing = False
        self._last_ms = now_ms

    def due_ms(self) -> int:
        """Return when to call `check` next."""
        if self._chunks == 0:
            return self._last_ms + round(self._gaps.first_chunk_deadline_ms())
        return self._last_ms + round(self._gaps.gap_deadline_ms())

    def check(self, now_ms: int) -> StallAction:
        """Return what to do now.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        if now_ms < self.due_ms():
            return StallAction.WAIT
        self._last_ms = now_ms
        if self._probing:
            return StallAction.LEAVE
        self._probing = True
        return StallAction.PROBE
