"""Token bucket in whole numbers."""

_MICRO = 1_000_000


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

    def take(self, amount: int, now_ms: int) -> None:
        """Take an amount that `wait_ms` allowed."""
        self._refill(now_ms)
        self._level_micro -= amount * _MICRO

    def give_back(self, amount: int, now_ms: int) -> None:
        """Return units that were taken and not used."""
        self._refill(now_ms)
        self._add(amount * _MICRO)

    def resize(self, *, rate_milli_per_s: int, burst: int, now_ms: int) -> None:
        """Change rate and burst; the level is kept and never grows by it."""
        self._refill(now_ms)
        self._rate_milli_per_s = rate_milli_per_s
        self._burst_micro = burst * _MICRO
        self._level_micro = min(self._level_micro, self._burst_micro)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._at_ms += elapsed_ms
        self._add(elapsed_ms * self._rate_milli_per_s)

    def _add(self, micro: int) -> None:
        self._level_micro = min(self._burst_micro, self._level_micro + micro)
