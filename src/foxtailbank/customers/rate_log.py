"""Log lines and counters about the limits of customers."""

import dataclasses

from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_wait import Outcome, PermitWait
from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.metrics import Count, Metrics

LINE_PERIOD_MS = 1_000  # for each customer and outcome


@dataclasses.dataclass(kw_only=True)
class _Refusals:
    """Refusals of one customer for one reason.

    Attributes
    ----------
    written_ms : int
        When the last line was written.
    count : int
        Refusals since then.
    """

    written_ms: int
    count: int


class RateLog:
    """Counts decisions and writes at most a line a second for each kind of refusal.

    Parameters
    ----------
    logs : Logs
        Receives the lines.
    metrics : Metrics
        Receives the counts; it bounds the number of customers it names.
    """

    def __init__(self, *, logs: Logs, metrics: Metrics) -> None:
        self._logs = logs
        self._metrics = metrics
        self._refusals: dict[tuple[str, Outcome], _Refusals] = {}

    def on_decision(
        self,
        customer: str,
        wait: PermitWait,
        *,
        limit: RateLimit,
        granting_vm: str,
        age_ms: int | None,
        now_ms: int,
    ) -> None:
        """Record the decision on a client request.

        Parameters
        ----------
        customer : str
            Who sent it.
        wait : PermitWait
            The decision.
        limit : RateLimit
            Limit of the customer.
        granting_vm : str
            The granting VM as this VM sees it.
        age_ms : int or None
            Age of the newest answer about the customer; None for none.
        now_ms : int
            Present time.
        """
        if wait.outcome is None:
            return
        reason = wait.outcome.value
        if wait.permit is not None:
            self._metrics.count(Count.RATE_ADMITTED, entry=customer, reason=reason)
            return
        self._metrics.count(Count.RATE_REFUSED, entry=customer, reason=reason)
        key = (customer, wait.outcome)
        refusals = self._refusals.get(key)
        if refusals is not None and now_ms - refusals.written_ms < LINE_PERIOD_MS:
            refusals.count += 1
            return
        count = 1 if refusals is None else refusals.count + 1
        self._refusals[key] = _Refusals(written_ms=now_ms, count=0)
        fields = LogFields(
            owner=customer,
            per_s=limit.rate_per_s,
            reason=reason,
            peer=granting_vm,
            age_ms=age_ms,
            wait_ms=wait.retry_after_ms,
            count=count,
        )
        self._logs.write(Event.RATE_REFUSED, fields=fields)

    def forget_all_but(self, customers: frozenset[str]) -> None:
        """Drop what is kept of customers that have no limit any more."""
        self._refusals = {
            key: refusals
            for key, refusals in self._refusals.items()
            if key[0] in customers
        }
