"""Token bucket in whole numbers."""

import dataclasses

_MICRO = 1_000_000


@dataclasses.dataclass(kw_only=True, eq=False)
class Take:
    """An amount taken out of a bucket, until it is settled.

    Attributes
    ----------
    amount_micro : int
        Millionths of a unit.
    peak_micro : int
        Highest level since, had the other settled amounts never been taken.
    """

    amount_micro: int
    peak_micro: int


class TokenBucket:
    """Allows an amount a second with a burst; exact to the millisecond.

    An amount above the burst is allowed once the bucket is full and leaves a
    debt, so that the rate holds in the long run.

    Parameters
    ----------
    rate_milli_per_s : int
        Thousandths of a unit that are added each second; above 0.
    burst : int
        Most units that the bucket holds; above 0.
    now_ms : int
        Present time in milliseconds.
    """

    def __init__(self, *, rate_milli_per_s: int, burst: int, now_ms: int) -> None:
        self._rate_milli_per_s = rate_milli_per_s
        self._burst_micro = burst * _MICRO
        self._level_micro = self._burst_micro
        self._at_ms = now_ms
        self._unsettled: list[Take] = []

    def wait_ms(self, amount: int, now_ms: int) -> int:
        """Return the time until an amount is allowed, 0 if it is now.

        Parameters
        ----------
        amount : int
            Units wanted.
        now_ms : int
            Present time in milliseconds.
        """
        self._refill(now_ms)
        needed_micro = min(amount * _MICRO, self._burst_micro)
        lacking_micro = needed_micro - self._level_micro
        if lacking_micro <= 0:
            return 0
        return -(-lacking_micro // self._rate_milli_per_s)

    def take(self, amount: int, now_ms: int) -> Take:
        """Take an amount that `wait_ms` allowed.

        Returns
        -------
        Take
            To be settled once the amount that is used is known.
        """
        self._refill(now_ms)
        self._note_peak()
        self._level_micro -= amount * _MICRO
        take = Take(amount_micro=amount * _MICRO, peak_micro=self._level_micro)
        self._unsettled.append(take)
        return take

    def owns(self, take: Take) -> bool:
        """Return whether an amount was taken from this bucket and not settled."""
        return take in self._unsettled

    def settle(self, take: Take, *, used: int, now_ms: int) -> None:
        """Return the units that were taken and not used.

        What is returned never makes the level higher than if only the used amount
        had been taken: refill that the full bucket would have lost is not returned.

        Parameters
        ----------
        take : Take
            What `take` returned.
        used : int
            Units used.
        now_ms : int
            Present time in milliseconds.
        """
        self._refill(now_ms)
        self._note_peak()
        self._unsettled.remove(take)
        unused_micro = max(0, take.amount_micro - used * _MICRO)
        lost_micro = max(0, take.peak_micro + unused_micro - self._burst_micro)
        returned_micro = max(0, unused_micro - lost_micro)
        for other in self._unsettled:
            other.peak_micro += returned_micro
        self._add(returned_micro)

    def resize(self, *, rate_milli_per_s: int, burst: int, now_ms: int) -> None:
        """Change rate and burst; the level is kept and never grows by it."""
        self._refill(now_ms)
        self._note_peak()
        self._rate_milli_per_s = rate_milli_per_s
        self._burst_micro = burst * _MICRO
        self._level_micro = min(self._level_micro, self._burst_micro)

    def _note_peak(self) -> None:
        for take in self._unsettled:
            take.peak_micro = max(take.peak_micro, self._level_micro)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._at_ms += elapsed_ms
        self._add(elapsed_ms * self._rate_milli_per_s)

    def _add(self, micro: int) -> None:
        self._level_micro = min(self._burst_micro, self._level_micro + micro)
