"""Token bucket of one customer at its granting VM."""

import dataclasses

from foxtailbank.clock import MS_PER_S
from foxtailbank.customers import rate_messages
from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_messages import PermitRequest
from foxtailbank.customers.rate_permits import RequestRate
from foxtailbank.token_bucket import TokenBucket, TokenReservation

PERMIT_LIFE_MS = 300
# After it, permits that were not reported as unused count as used.
SETTLE_MS = PERMIT_LIFE_MS + 1_000
# Of what is in the bucket, for requests that have not come yet.
ADVANCE_SHARE = 0.25
ASKED_MS = 1_000  # the load of a bucket is observed for so long
# The return of callers is not planned further ahead: the load will have changed.
MAX_RETRY_AFTER_MS = 5_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantKey:
    """Identifies a request for permits.

    Attributes
    ----------
    vm_id : str
        The asking VM.
    incarnation : int
        Its process.
    number : int
        Number of the request in that process.
    """

    vm_id: str
    incarnation: int
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """Permits granted to one request for permits.

    Attributes
    ----------
    count : int
        Permits.
    wait_ms : int
        Time until a further one is likely; 0 if nothing that waits was left out.
    """

    count: int
    wait_ms: int


NO_GRANT = Grant(count=0, wait_ms=0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SentGrant:
    """A grant that can still be repeated or returned in part."""

    grant: Grant
    reservation: TokenReservation
    settle_ms: int


class RateBucket:
    """Grants permits of one customer.

    Parameters
    ----------
    limit : RateLimit
        This VM's part of the customer's limit.
    permits : int
        Permits in the bucket at first.
    now_ms : int
        Present time.

    Attributes
    ----------
    is_pressed : bool
        Whether it had too little since this was last reset.
    """

    def __init__(self, *, limit: RateLimit, permits: int, now_ms: int) -> None:
        self.is_pressed = False
        self._limit = limit
        self._bucket = TokenBucket(
            rate_milli_per_s=limit.rate_milli_per_s,
            burst=limit.capacity,
            now_ms=now_ms,
            level=permits,
        )
        self._sent_by_key: dict[GrantKey, _SentGrant] = {}
        # Refused client requests that are expected back, less those that have had time.
        self._expected = 0.0
        self._expected_ms = now_ms
        self._asked = RequestRate(window_ms=ASKED_MS)

    def resize(self, limit: RateLimit, now_ms: int) -> None:
        """Set this VM's part of the limit."""
        if limit == self._limit:
            return
        self._limit = limit
        self._bucket.resize(
            rate_milli_per_s=limit.rate_milli_per_s, burst=limit.capacity, now_ms=now_ms
        )

    def grant(self, request: PermitRequest, now_ms: int) -> Grant:
        """Grant permits; a repeated request gets the same grant."""
        self._settle(now_ms)
        key = GrantKey(
            vm_id=request.vm_id,
            incarnation=request.incarnation,
            number=request.number,
        )
        sent = self._sent_by_key.get(key)
        if sent is not None:
            return sent.grant
        for unused in request.unused:
            self.give_back(
                dataclasses.replace(key, number=unused.number), unused.count, now_ms
            )
        self._expect(request.refused, now_ms)
        self._asked.add(now_ms, request.needed + request.refused)
        available = self._bucket.available(now_ms)
        count = min(request.needed, available)
        advance = int(ADVANCE_SHARE * (available - count))
        count += max(0, min(request.wanted - count, advance))
        missing = max(0, request.needed - count)
        self.is_pressed |= missing + request.refused > 0
        grant = Grant(count=count, wait_ms=self.wait_ms(now_ms) if missing else 0)
        self._expect(missing + count * self._first_time_share(now_ms), now_ms)
        self._sent_by_key[key] = _SentGrant(
            grant=grant,
            reservation=self._bucket.reserve(count, now_ms),
            settle_ms=now_ms + SETTLE_MS,
        )
        return grant

    def give_back(self, key: GrantKey, count: int, now_ms: int) -> None:
        """Take back permits that were not used."""
        sent = self._sent_by_key.pop(key, None)
        if sent is not None:
            used = max(0, sent.grant.count - count)
            self._bucket.settle(sent.reservation, used=used, now_ms=now_ms)

    def put(self, permits: int, now_ms: int) -> None:
        """Add the content of another VM's bucket of the customer."""
        self._bucket.put(permits, now_ms)

    def available(self, now_ms: int) -> int:
        """Return the permits in the bucket."""
        return min(self._bucket.available(now_ms), rate_messages.MAX_PERMITS)

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until a permit is likely for a request without one."""
        ahead_ms = self._expected_at(now_ms) * MS_PER_S / self._limit.rate_per_s
        wait_ms = self._bucket.wait_ms(1, now_ms) + ahead_ms
        return max(1, min(MAX_RETRY_AFTER_MS, round(wait_ms)))

    def _first_time_share(self, now_ms: int) -> float:
        """Return which part of the requests was not told to come now.

        They take permits from those that were, who therefore come too early.
        """
        asked_per_s = self._asked.estimate(now_ms) * MS_PER_S / ASKED_MS
        if not self._expected or not asked_per_s:
            return 0.0
        return max(0.0, 1 - self._limit.rate_per_s / asked_per_s)

    def _expect(self, count: float, now_ms: int) -> None:
        self._expected = self._expected_at(now_ms) + count
        self._expected_ms = now_ms

    def _expected_at(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self._expected_ms)
        due = elapsed_ms * self._limit.rate_per_s / MS_PER_S
        return max(0.0, self._expected - due)

    def _settle(self, now_ms: int) -> None:
        """Count as used what can't be returned any more."""
        while self._sent_by_key:
            key, sent = next(iter(self._sent_by_key.items()))
            if now_ms < sent.settle_ms:
                return
            self.give_back(key, 0, now_ms)
