"""Rate and concurrency limits of owners and entries, for this VM's share."""

import dataclasses
import enum

from foxtailbank.exceptions import RateLimited
from foxtailbank.token_bucket import TokenBucket, TokenReservation

INITIAL_DURATION_MS = 1000
NO_SHARE_RETRY_MS = 100
_DURATION_AVERAGE_SPAN = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShare:
    """One VM's share of a limit.

    Attributes
    ----------
    requests_milli_per_s : int
        Request rate, in thousandths of a request per second.
    requests_burst : int
        Request burst size.
    tokens_milli_per_s : int
        Token rate, in thousandths of a token per second; 0 means no token limit.
    tokens_burst : int
        Token burst size.
    concurrency : int
        Maximum number of requests in flight; 0 means no limit.
    closed : bool
        Whether this VM has no share of the limit and must refuse all requests.
    """

    requests_milli_per_s: int
    requests_burst: int
    tokens_milli_per_s: int = 0
    tokens_burst: int = 1
    concurrency: int = 0
    closed: bool = False


class LimitKind(enum.Enum):
    """The part of a limit that refused a request."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    CONCURRENCY = "concurrency"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """Result for an admitted request; pass it to `Admission.release` at its end.

    Attributes
    ----------
    keys : tuple of str
        Limits that the request was charged to.
    tokens : int
        Number of tokens charged.
    at_ms : int
        Time of admission in milliseconds.
    reservations : tuple of TokenReservation
        Token reservations to settle, in the order of `keys`; None for a limit
        without a token rate.
    """

    keys: tuple[str, ...]
    tokens: int
    at_ms: int
    reservations: tuple[TokenReservation | None, ...] = dataclasses.field(
        default=(), compare=False
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Result for a request that exceeds a limit.

    Attributes
    ----------
    key : str
        Key of the limit.
    kind : LimitKind
        Part of the limit that was exceeded.
    retry_after_ms : int
        Milliseconds after which the same request would be admitted, provided that no
        other request is admitted first; an estimate for concurrency limits.
    """

    key: str
    kind: LimitKind
    retry_after_ms: int

    def error(self) -> RateLimited:
        """Return the error to send to the caller."""
        return RateLimited(
            detail=f"{self.kind.value} limit of {self.key} exceeded",
            retry_after_ms=self.retry_after_ms,
        )


class _Limit:
    """Buckets and counters of one limit."""

    def __init__(self, *, share: LimitShare, now_ms: int) -> None:
        self.share = share
        self.in_flight = 0
        self.mean_duration_ms = INITIAL_DURATION_MS
        self.requests = TokenBucket(
            rate_milli_per_s=share.requests_milli_per_s,
            burst=share.requests_burst,
            now_ms=now_ms,
        )
        self.tokens: TokenBucket | None = None
        self._resize_token_bucket(now_ms)

    def resize(self, share: LimitShare, now_ms: int) -> None:
        self.share = share
        self.requests.resize(
            rate_milli_per_s=share.requests_milli_per_s,
            burst=share.requests_burst,
            now_ms=now_ms,
        )
        self._resize_token_bucket(now_ms)

    def _resize_token_bucket(self, now_ms: int) -> None:
        rate = self.share.tokens_milli_per_s
        if rate == 0:
            self.tokens = None
        elif self.tokens is None:
            self.tokens = TokenBucket(
                rate_milli_per_s=rate, burst=self.share.tokens_burst, now_ms=now_ms
            )
        else:
            self.tokens.resize(
                rate_milli_per_s=rate, burst=self.share.tokens_burst, now_ms=now_ms
            )

    def check(self, key: str, tokens: int, now_ms: int) -> Refusal | None:
        waits = {LimitKind.REQUESTS: self.requests.wait_ms(1, now_ms)}
        if self.share.closed:
            waits[LimitKind.CONCURRENCY] = NO_SHARE_RETRY_MS
        if self.tokens is not None:
            waits[LimitKind.TOKENS] = self.tokens.wait_ms(tokens, now_ms)
        if self.share.concurrency and self.in_flight >= self.share.concurrency:
            waits[LimitKind.CONCURRENCY] = -(
                -self.mean_duration_ms // self.share.concurrency
            )
        kind = max(waits, key=waits.__getitem__)
        if waits[kind] == 0:
            return None
        return Refusal(key=key, kind=kind, retry_after_ms=waits[kind])

    def charge(self, tokens: int, now_ms: int) -> TokenReservation | None:
        self.in_flight += 1
        request = self.requests.reserve(1, now_ms)
        self.requests.settle(request, used=1, now_ms=now_ms)
        if self.tokens is None:
            return None
        return self.tokens.reserve(tokens, now_ms)

    def release(
        self, reservation: TokenReservation | None, used_tokens: int, now_ms: int
    ) -> None:
        self.in_flight = max(0, self.in_flight - 1)
        if (
            reservation is not None
            and self.tokens is not None
            and self.tokens.is_outstanding(reservation)
        ):
            self.tokens.settle(reservation, used=used_tokens, now_ms=now_ms)


class Admission:
    """Admits requests within this VM's share of the limits of owners and entries.

    Limit keys are chosen by the code that uses this class, such as ``"owner:acme"``.
    """

    def __init__(self) -> None:
        self._limits_by_key: dict[str, _Limit] = {}

    def set_share(self, key: str, share: LimitShare, now_ms: int) -> None:
        """Add or change a limit; capacity already used stays charged.

        Parameters
        ----------
        key : str
            Key of the limit.
        share : LimitShare
            This VM's share of the limit.
        now_ms : int
            Current time in milliseconds.
        """
        limit = self._limits_by_key.get(key)
        if limit is None:
            self._limits_by_key[key] = _Limit(share=share, now_ms=now_ms)
        else:
            limit.resize(share, now_ms)

    def remove(self, key: str) -> None:
        """Remove a limit."""
        self._limits_by_key.pop(key, None)

    def admit(
        self, *, keys: tuple[str, ...], tokens: int, now_ms: int
    ) -> Admitted | Refusal:
        """Charge a request to all its limits, or to none if one refuses it.

        Parameters
        ----------
        keys : tuple of str
            Keys of the limits that apply to the request; unknown keys are ignored.
        tokens : int
            Maximum number of tokens that the request may use.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Admitted or Refusal
            A refusal names the limit with the longest wait.
        """
        limits = [
            (key, self._limits_by_key[key])
            for key in keys
            if key in self._limits_by_key
        ]
        refusals = [limit.check(key, tokens, now_ms) for key, limit in limits]
        longest = max(
            (refusal for refusal in refusals if refusal is not None),
            key=lambda refusal: refusal.retry_after_ms,
            default=None,
        )
        if longest is not None:
            return longest
        reservations = tuple(limit.charge(tokens, now_ms) for _, limit in limits)
        charged = tuple(key for key, _ in limits)
        return Admitted(
            keys=charged, tokens=tokens, at_ms=now_ms, reservations=reservations
        )

    def release(self, admitted: Admitted, *, used_tokens: int, now_ms: int) -> None:
        """End an admitted request and return its unused tokens.

        Parameters
        ----------
        admitted : Admitted
            Result of `admit`.
        used_tokens : int
            Number of tokens used.
        now_ms : int
            Current time in milliseconds.
        """
        duration_ms = max(0, now_ms - admitted.at_ms)
        for key, reservation in zip(admitted.keys, admitted.reservations, strict=True):
            limit = self._limits_by_key.get(key)
            if limit is None:
                continue
            limit.mean_duration_ms += (
                duration_ms - limit.mean_duration_ms
            ) // _DURATION_AVERAGE_SPAN
            limit.release(reservation, used_tokens, now_ms)
