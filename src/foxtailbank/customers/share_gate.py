"""Decides whether a customer's next request is excess while a service is busy.

Meant for a customer that sends several times its usual while the workers are nearly
full. Its excess is refused at once, before it takes the slots that others would find.
Without customers in the configuration nothing is decided here.
"""

import copy
import dataclasses
import statistics
import typing as t

from foxtailbank.customers import share_allotment
from foxtailbank.customers.customer import Customer
from foxtailbank.customers.customer_table import CustomerTable
from foxtailbank.customers.share_allotment import Demand
from foxtailbank.customers.share_batch import BatchShares
from foxtailbank.customers.share_counts import BATCH_POOL, CustomerLoads, customer_key
from foxtailbank.fleet.worker import Worker
from foxtailbank.fleet.worker_view import WorkerView

# Of a service's slots. The rest is for those under their share, until their excess
# ends at the others.
BUSY_SHARE = 0.8
SHARES_KEPT_MS = 50  # reports come less often
DEFAULT_WEIGHT = 1.0  # if no customer has a rate


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareExcess:
    """A customer has more in flight than its share while others need the slots.

    Attributes
    ----------
    customer : str
        The customer.
    in_flight : int
        Its requests in flight on the service.
    share : float
        Slots that are its share.
    age_ms : int
        Age of the oldest report that was counted.
    """

    customer: str
    in_flight: int
    share: float
    age_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Shares:
    at_ms: int
    share_by_name: dict[str, float] | None  # None while the service is not busy


class ShareGate:
    """Compares what customers have in flight with their shares.

    Parameters
    ----------
    loads : CustomerLoads
        Requests in flight by customer.
    view : WorkerView
        Load and health of the workers.
    customers : callable
        Returns the customers in force.
    """

    def __init__(
        self,
        *,
        loads: CustomerLoads,
        view: WorkerView,
        customers: t.Callable[[], CustomerTable],
    ) -> None:
        self._loads = loads
        self._view = view
        self._customers = customers
        self._shares_by_service: dict[str, _Shares] = {}
        self._weighted_table = CustomerTable()
        self._weight_by_name: dict[str, float] = {}
        self._default_weight = DEFAULT_WEIGHT

    def fork(self, *, loads: CustomerLoads, view: WorkerView) -> "ShareGate":
        """Return a copy for other counts, which shares nothing that is changed."""
        fork = copy.copy(self)
        fork._loads = loads
        fork._view = view
        fork._shares_by_service = dict(self._shares_by_service)
        return fork

    def share_of(
        self, name: str, workers: t.Sequence[Worker], now_ms: int
    ) -> float | None:
        """Return the slots that are a customer's share; None while none is limited."""
        if not workers:
            return None
        share_by_name = self._shares(workers[0].service, workers, now_ms)
        return share_by_name.get(name) if share_by_name is not None else None

    def find_excess(
        self, name: str, workers: t.Sequence[Worker], now_ms: int
    ) -> ShareExcess | None:
        """Return the excess that a request adds to, if any; it is counted already.

        Parameters
        ----------
        name : str
            The customer; empty for a request without a key.
        workers : sequence of Worker
            Workers of the service.
        now_ms : int
            Current time.
        """
        if not name or not workers:
            return None
        service = workers[0].service
        key = customer_key(service=service, name=name)
        in_flight = self._loads.online(key) - 1
        if in_flight < share_allotment.MIN_EXCESS_IN_FLIGHT:
            return None
        share = self.share_of(name, workers, now_ms)
        if share is None:
            return None
        own_share = share / self._loads.vm_count(key)
        if not (
            share_allotment.is_excess(in_flight, share)
            or share_allotment.is_excess(self._loads.own_online(key) - 1, own_share)
        ):
            return None
        return ShareExcess(
            customer=name,
            in_flight=in_flight,
            share=share,
            age_ms=self._loads.age_ms(now_ms),
        )

    def batch_shares(self, names: t.Iterable[str]) -> BatchShares:
        """Return the ranks of customers with items.

        Parameters
        ----------
        names : iterable of str
            Customers of the items that this VM has; read only if there are customers.
        """
        customers = self._weighted_customers()
        if not customers.requires_keys:
            return BatchShares()
        in_flight_by_name = {
            customer.name: self._loads.batch(
                customer_key(service=BATCH_POOL, name=customer.name)
            )
            for customer in customers.all()
        }
        # A customer that the configuration does not name any more comes last.
        last = max(customer.priority for customer in customers.all())
        present = {name for name, count in in_flight_by_name.items() if count} | {
            *names
        }
        return BatchShares(
            customers=[
                customers.get(name) or Customer(name=name, priority=last)
                for name in present
            ],
            weight_by_name={
                name: self._weight_by_name.get(name, self._default_weight)
                for name in present
            },
            in_flight_by_name=in_flight_by_name,
        )

    def _shares(
        self, service: str, workers: t.Sequence[Worker], now_ms: int
    ) -> dict[str, float] | None:
        known = self._shares_by_service.get(service)
        if known is None or now_ms - known.at_ms >= SHARES_KEPT_MS:
            shares = self._find_shares(service, workers, now_ms)
            known = _Shares(at_ms=now_ms, share_by_name=shares)
            self._shares_by_service[service] = known
        return known.share_by_name

    def _find_shares(
        self, service: str, workers: t.Sequence[Worker], now_ms: int
    ) -> dict[str, float] | None:
        online_share = self._view.online_share(workers, now_ms)
        if online_share is None or online_share < BUSY_SHARE:
            return None
        slots = sum(w.slots for w in workers if self._view.is_healthy(w, now_ms))
        customers = self._weighted_customers()
        demands = [
            Demand(
                name=customer.name,
                priority=customer.priority,
                weight=self._weight_by_name[customer.name],
                in_flight=in_flight,
            )
            for customer in customers.all()
            if (
                in_flight := self._loads.online(
                    customer_key(service=service, name=customer.name)
                )
            )
        ]
        keyed = sum(demand.in_flight for demand in demands)
        without_key = max(0.0, online_share * slots - keyed)
        return share_allotment.allot(
            max(0.0, BUSY_SHARE * slots - without_key), demands
        )

    def _weighted_customers(self) -> CustomerTable:
        """Return the customers in force, whose weights are known from then on.

        A customer's weight is the rate that it may send, or the mean rate.
        """
        customers = self._customers()
        if customers is not self._weighted_table:
            limited = [one.rate_per_s for one in customers.all() if one.is_limited]
            mean = statistics.fmean(limited) if limited else DEFAULT_WEIGHT
            self._weight_by_name = {
                customer.name: customer.rate_per_s if customer.is_limited else mean
                for customer in customers.all()
            }
            self._default_weight = mean
            self._weighted_table = customers
        return customers
