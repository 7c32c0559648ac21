"""Recognizes bursts of the online load at their first sign.

Designed for online load that comes in steps: calm for a few seconds, then several times
as much, again and again. Between two bursts batch items may use what the next one will
need, if they are preempted as soon as it begins. The first sign is a load well above
that of the calm times.
"""

import collections
import dataclasses
import enum
import statistics

WINDOW_MS = 12_000  # two bursts, if they are not more than 6 s apart
SAMPLE_INTERVAL_MS = 100  # a burst takes several of them to reach its height
MAX_GAP_MS = 1_000  # a burst could begin and end unnoticed in a longer gap
# Share of slots by which bursts exceed the calm load; less is ordinary variation.
MIN_RISE_SHARE = 0.25
MIN_BURST_FACTOR = 2.0  # times the calm load; the peaks of a steady load reach 1.6
ONSET_SHARE = 0.25  # of the rise; the ordinary variation of a calm load is less
HIGH_SHARE = 0.6  # of the rise; a burst that falls below it is over
MAX_ONSET_MS = 1_000  # a rise that goes no further in this time is no burst


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sample:
    at_ms: int
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Levels:
    """Online requests in flight divided by slots, when calm and in bursts."""

    calm: float
    burst: float

    def at(self, share_of_rise: float) -> float:
        """Return the level that lies so far between the two."""
        return self.calm + share_of_rise * (self.burst - self.calm)


class _Phase(enum.Enum):
    CALM = "calm"
    RISING = "rising"
    HIGH = "high"
    FALLING = "falling"


class OnlineBursts:
    """Derives from samples of the online load whether a burst is on, and its height."""

    def __init__(self) -> None:
        self._samples: collections.deque[_Sample] = collections.deque()
        self._levels: _Levels | None = None
        self._phase = _Phase.CALM
        self._rising_since_ms = 0

    @property
    def burst_share(self) -> float | None:
        """Height of the burst that is on, from those of the window; None if calm."""
        if self._levels is None or self._phase not in (_Phase.RISING, _Phase.HIGH):
            return None
        return self._levels.burst

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
        if self._samples and now_ms - self._samples[-1].at_ms > MAX_GAP_MS:
            self._samples.clear()
        self._samples.append(_Sample(at_ms=now_ms, share=share))
        while now_ms - self._samples[0].at_ms > WINDOW_MS:
            self._samples.popleft()
        self._levels = self._find_levels()
        if self._levels is None:
            self._phase = _Phase.CALM  # also after a window without any calm time
        else:
            self._phase = self._next_phase(self._levels, share, now_ms)

    def _find_levels(self) -> _Levels | None:
        shares = [sample.share for sample in self._samples]
        burst = max(shares)
        middle = (min(shares) + burst) / 2
        calm = statistics.fmean(share for share in shares if share <= middle)
        if burst - calm < MIN_RISE_SHARE or burst < MIN_BURST_FACTOR * calm:
            return None
        return _Levels(calm=calm, burst=burst)

    def _next_phase(self, levels: _Levels, share: float, now_ms: int) -> _Phase:
        is_high = share >= levels.at(HIGH_SHARE)
        has_begun = share >= levels.at(ONSET_SHARE)
        match self._phase:
            case _Phase.CALM if has_begun:
                self._rising_since_ms = now_ms
                return _Phase.HIGH if is_high else _Phase.RISING
            case _Phase.RISING if is_high:
                return _Phase.HIGH
            case _Phase.RISING if now_ms - self._rising_since_ms > MAX_ONSET_MS:
                return _Phase.FALLING
            case _Phase.HIGH if not is_high:
                return _Phase.FALLING
            case _Phase.FALLING if is_high:
                return _Phase.HIGH
            case _Phase.FALLING if not has_begun:
                return _Phase.CALM
        return self._phase
