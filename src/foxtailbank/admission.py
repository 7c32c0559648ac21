"""Limits of owners and entries, as far as this VM's share goes."""

import dataclasses
import enum

from foxtailbank.exceptions import RateLimited
from foxtailbank.token_bucket import Take, TokenBucket

FIRST_HOLD_MS = 1000
CLOSED_RETRY_MS = 100
_HOLD_WEIGHT = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitShare:
    """Share of one limit that belongs to one VM.

    Attributes
    ----------
    requests_milli_per_s : int
        Thousandths of a request a second.
    requests_burst : int
        Requests at once.
    tokens_milli_per_s : int
        Thousandths of a token a second; 0 for no limit on tokens.
    tokens_burst : int
        Tokens at once.
    concurrency : int
        Requests in flight; 0 for no limit.
    closed : bool
        Whether nothing of the limit belongs to this VM.
    """

    requests_milli_per_s: int
    requests_burst: int
    tokens_milli_per_s: int = 0
    tokens_burst: int = 1
    concurrency: int = 0
    closed: bool = False


class LimitKind(enum.Enum):
    """Which limit was used up."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    CONCURRENCY = "concurrency"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """The request may go on; its keys are to be released at its end.

    Attributes
    ----------
    keys : tuple of str
        Limits that count the request.
    tokens : int
        Tokens charged.
    at_ms : int
        Time of admission in milliseconds.
    takes : tuple of Take
        Token amounts to settle, in the order of `keys`.
    """

    keys: tuple[str, ...]
    tokens: int
    at_ms: int
    takes: tuple[Take | None, ...] = dataclasses.field(default=(), compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The request is over a limit.

    Attributes
    ----------
    key : str
        The limit.
    kind : LimitKind
        Which part of it.
    retry_after_ms : int
        Milliseconds after which the same request would be admitted, if no other
        comes before it; an estimate for concurrency.
    """

    key: str
    kind: LimitKind
    retry_after_ms: int

    def error(self) -> RateLimited:
        """Return the failure for the caller."""
        return RateLimited(
            detail=f"{self.kind.value} limit of {self.key} is used up",
            retry_after_ms=self.retry_after_ms,
        )


class _Limit:
    """State of one limit."""

    def __init__(self, *, share: LimitShare, now_ms: int) -> None:
        self.share = share
        self.in_flight = 0
        self.hold_ms = FIRST_HOLD_MS
        self.requests = TokenBucket(
            rate_milli_per_s=share.requests_milli_per_s,
            burst=share.requests_burst,
            now_ms=now_ms,
        )
        self.tokens: TokenBucket | None = None
        self._fit_tokens(now_ms)

    def resize(self, share: LimitShare, now_ms: int) -> None:
        self.share = share
        self.requests.resize(
            rate_milli_per_s=share.requests_milli_per_s,
            burst=share.requests_burst,
            now_ms=now_ms,
        )
        self._fit_tokens(now_ms)

    def _fit_tokens(self, now_ms: int) -> None:
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

    def refusal(self, key: str, tokens: int, now_ms: int) -> Refusal | None:
        waits = {LimitKind.REQUESTS: self.requests.wait_ms(1, now_ms)}
        if self.share.closed:
            waits[LimitKind.CONCURRENCY] = CLOSED_RETRY_MS
        if self.tokens is not None:
            waits[LimitKind.TOKENS] = self.tokens.wait_ms(tokens, now_ms)
        if self.share.concurrency and self.in_flight >= self.share.concurrency:
            waits[LimitKind.CONCURRENCY] = -(-self.hold_ms // self.share.concurrency)
        kind = max(waits, key=waits.__getitem__)
        if waits[kind] == 0:
            return None
        return Refusal(key=key, kind=kind, retry_after_ms=waits[kind])

    def charge(self, tokens: int, now_ms: int) -> Take | None:
        self.in_flight += 1
        request = self.requests.take(1, now_ms)
        self.requests.settle(request, used=1, now_ms=now_ms)
        if self.tokens is None:
            return None
        return self.tokens.take(tokens, now_ms)

    def release(self, take: Take | None, used_tokens: int, now_ms: int) -> None:
        self.in_flight = max(0, self.in_flight - 1)
        if take is not None and self.tokens is not None and self.tokens.owns(take):
            self.tokens.settle(take, used=used_tokens, now_ms=now_ms)


class Admission:
    """Admits requests within this VM's share of the limits of owners and entries.

    Limits are named by the caller of this class, for example ``"owner:acme"``.
    """

    def __init__(self) -> None:
        self._limits_by_key: dict[str, _Limit] = {}

    def set_share(self, key: str, share: LimitShare, now_ms: int) -> None:
        """Set or change a limit; what was used up stays used up.

        Parameters
        ----------
        key : str
            The limit.
        share : LimitShare
            This VM's share of it.
        now_ms : int
            Present time in milliseconds.
        """
        limit = self._limits_by_key.get(key)
        if limit is None:
            self._limits_by_key[key] = _Limit(share=share, now_ms=now_ms)
        else:
            limit.resize(share, now_ms)

    def remove(self, key: str) -> None:
        """Forget a limit."""
        self._limits_by_key.pop(key, None)

    def admit(
        self, *, keys: tuple[str, ...], tokens: int, now_ms: int
    ) -> Admit | Refusal:
        """Admit a request under all its limits, or charge none of them.

        Parameters
        ----------
        keys : tuple of str
            Limits that the request counts against; unknown ones don't limit.
        tokens : int
            Tokens that the request may use at most.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        Admit or Refusal
            The refusal names the limit that takes longest to allow the request.
        """
        limits = [
            (key, self._limits_by_key[key])
            for key in keys
            if key in self._limits_by_key
        ]
        refusals = [limit.refusal(key, tokens, now_ms) for key, limit in limits]
        worst = max(
            (refusal for refusal in refusals if refusal is not None),
            key=lambda refusal: refusal.retry_after_ms,
            default=None,
        )
        if worst is not None:
            return worst
        takes = tuple(limit.charge(tokens, now_ms) for _, limit in limits)
        charged = tuple(key for key, _ in limits)
        return Admit(keys=charged, tokens=tokens, at_ms=now_ms, takes=takes)

    def release(self, admit: Admit, *, used_tokens: int, now_ms: int) -> None:
        """End an admitted request and give back the tokens that it did not use.

        Parameters
        ----------
        admit : Admit
            What `admit` returned.
        used_tokens : int
            Tokens used.
        now_ms : int
            Present time in milliseconds.
        """
        held_ms = max(0, now_ms - admit.at_ms)
        for key, take in zip(admit.keys, admit.takes, strict=True):
            limit = self._limits_by_key.get(key)
            if limit is None:
                continue
            limit.hold_ms += (held_ms - limit.hold_ms) // _HOLD_WEIGHT
            limit.release(take, used_tokens, now_ms)
