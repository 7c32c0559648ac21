"""What a VM passes of a customer while no granting VM answers."""

import math

from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_permits import RequestRate
from foxtailbank.token_bucket import TokenBucket

# When the granting VM is lost, a VM goes on with this part of what it was granted in
# the last second, once in the span over which limits hold.
CARRY_ON_PART = 0.25
CARRY_ON_MS = 1_000
CARRY_ON_PERIOD_MS = 5_000
# Of rate / VMs known. Others may be using the whole limit until they notice a cut.
GUARANTEED_PART = 0.5


class GuaranteedPart:
    """Requests of one customer that this VM may pass without an answer.

    First it goes on with a part of what it was granted a moment ago. Then a bucket that
    begins at zero fills at its part of the rate, so that what all VMs pass stays below
    the rate, however many there are.
    """

    def __init__(self) -> None:
        self._granted = RequestRate(window_ms=CARRY_ON_MS)
        self._bucket: TokenBucket | None = None
        self._carry_on_count = 0
        self._carry_on_ms: int | None = None

    def on_granted(self, now_ms: int) -> None:
        """Count a request that passed with a permit."""
        self._granted.add(now_ms)

    def end(self) -> None:
        """Drop the rest, as a granting VM has answered."""
        self._bucket = None
        self._carry_on_count = 0

    def take(self, limit: RateLimit, share: float, now_ms: int) -> bool:
        """Take one request; return whether there was one.

        Parameters
        ----------
        limit : RateLimit
            Limit of the customer.
        share : float
            One VM of all that are known.
        now_ms : int
            Present time.
        """
        if self._bucket is None:
            part = limit.part(GUARANTEED_PART * share)
            self._bucket = TokenBucket(
                rate_milli_per_s=part.rate_milli_per_s, burst=1, now_ms=now_ms, level=0
            )
            self._start_carry_on(now_ms)
        if self._carry_on_count:
            self._carry_on_count -= 1
            return True
        if not self._bucket.available(now_ms):
            return False
        taken = self._bucket.reserve(1, now_ms)
        self._bucket.settle(taken, used=1, now_ms=now_ms)
        return True

    def _start_carry_on(self, now_ms: int) -> None:
        started_ms = self._carry_on_ms
        if started_ms is not None and now_ms - started_ms < CARRY_ON_PERIOD_MS:
            return
        self._carry_on_ms = now_ms
        granted = self._granted.estimate(now_ms)
        self._carry_on_count = math.ceil(CARRY_ON_PART * granted)
