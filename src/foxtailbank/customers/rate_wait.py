"""Decision on one client request of a limited customer."""

import dataclasses
import enum
import typing as t

from foxtailbank.customers.rate_permits import Permit


class Outcome(enum.Enum):
    """Why a client request was let pass or refused."""

    GRANTED = "granted"
    GUARANTEED = "guaranteed"
    LIMIT = "limit"
    NO_ANSWER = "no_answer"
    STARTING = "starting"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateOutlook:
    """How a customer's next request would be decided on, as this VM knows.

    Attributes
    ----------
    outcome : Outcome or None
        The decision; None if the granting VM is asked first.
    granting_vm : str
        VM that grants the customer's permits.
    in_stock : int
        Permits that this VM holds.
    in_bucket : int or None
        Permits that can be granted; None if another VM grants.
    wait_ms : int
        Time until a permit is likely, if there is none here.
    answer_age_ms : int or None
        Age of the newest answer of a granting VM; None without one.
    """

    outcome: Outcome | None
    granting_vm: str
    in_stock: int
    in_bucket: int | None
    wait_ms: int
    answer_age_ms: int | None


class PermitWait:
    """A client request that waits for a permit.

    Parameters
    ----------
    started_ms : int
        When it came.

    Attributes
    ----------
    outcome : Outcome or None
        None while it waits.
    permit : Permit or None
        Lets it pass; None while it waits or if it is refused.
    retry_after_ms : int
        Time until a permit is likely, if it is refused.
    """

    def __init__(self, *, started_ms: int) -> None:
        self.started_ms = started_ms
        self.outcome: Outcome | None = None
        self.permit: Permit | None = None
        self.retry_after_ms = 0
        self._listeners: list[t.Callable[[], None]] = []

    def add_listener(self, listener: t.Callable[[], None]) -> None:
        """Add a function to call once it is decided on."""
        self._listeners.append(listener)

    def admit(self, permit: Permit, outcome: Outcome) -> None:
        """Let it pass."""
        self.permit = permit
        self._decide(outcome)

    def refuse(self, retry_after_ms: int, outcome: Outcome) -> None:
        """Refuse it."""
        self.retry_after_ms = retry_after_ms
        self._decide(outcome)

    def _decide(self, outcome: Outcome) -> None:
        self.outcome = outcome
        for listener in self._listeners:
            listener()
