"""What decides on requests of one VM."""

import dataclasses

from foxtailbank.customers.customer_gate import CustomerGate
from foxtailbank.customers.key_lease import KeyLease
from foxtailbank.customers.rate_limiter import RateLimiter
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.serving_vm import ServingVm
from foxtailbank.submissions.runner import Runner
from foxtailbank.submissions.service import SubmissionService


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deciders:
    """The components of a VM that are asked.

    Attributes
    ----------
    routes, customers, lease, rates, batch, runner
        See `ServingVm`.
    context : ForwardContext
        What online requests use.
    """

    routes: RouteTable
    customers: CustomerGate
    lease: KeyLease
    rates: RateLimiter
    batch: SubmissionService
    runner: Runner
    context: ForwardContext

    @classmethod
    def of(cls, vm: ServingVm) -> "Deciders":
        """Return those of a VM."""
        return cls(
            routes=vm.routes,
            customers=vm.customers,
            lease=vm.key_lease,
            rates=vm.rates,
            batch=vm.batch,
            runner=vm.runner,
            context=vm.forwarder.context,
        )
