"""Whose batch items start first, and whose are preempted first."""

import collections
import dataclasses
import typing as t

from foxtailbank.customers.customer import Customer
from foxtailbank.customers.share_allotment import FLOOR_SHARE


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class BatchRank:
    """Rank of a customer's next item; the lowest starts first and is preempted last.

    Attributes
    ----------
    has_floor : bool
        Whether the customer has what is kept for it whatever its priority.
    priority : int
        Its priority; 0 is the highest.
    is_over_share : bool
        Whether it has its part of the running items.
    """

    has_floor: bool = True
    priority: int = 0
    is_over_share: bool = False


class BatchShares:
    """Ranks customers by their priority and their part of the running items.

    Parameters
    ----------
    customers : iterable of Customer
        Customers that have items, waiting or running.
    weight_by_name : mapping of str to float
        Weight of each of them.
    in_flight_by_name : mapping of str to int
        Items of each that run on all VMs.
    """

    def __init__(
        self,
        *,
        customers: t.Iterable[Customer] = (),
        weight_by_name: t.Mapping[str, float] | None = None,
        in_flight_by_name: t.Mapping[str, int] | None = None,
    ) -> None:
        self._customer_by_name = {customer.name: customer for customer in customers}
        self._weight_by_name = weight_by_name or {}
        self._in_flight: collections.Counter[str] = collections.Counter(
            in_flight_by_name
        )
        self._total_weight = sum(
            self._weight_by_name[name] for name in self._customer_by_name
        )

    def rank(self, name: str) -> BatchRank:
        """Return the rank of a customer's next item."""
        customer = self._customer_by_name.get(name)
        if customer is None:
            return BatchRank()  # there are no customers
        part = self._weight_by_name[name] / self._total_weight
        fair = part * self._in_flight.total()
        in_flight = self._in_flight[name]
        return BatchRank(
            has_floor=in_flight >= FLOOR_SHARE * fair,
            priority=customer.priority,
            is_over_share=in_flight > fair,
        )

    def on_start(self, name: str) -> None:
        """Count an item that is to start."""
        self._in_flight[name] += 1
