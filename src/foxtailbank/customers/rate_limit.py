"""Rate and burst that a customer has over all VMs together."""

import dataclasses
import math

from foxtailbank.customers.customer import Customer

MILLI_PER_UNIT = 1_000
# Beyond the burst, so that a customer of few requests, which come unevenly, is not
# refused below its limit. Of the 20 by which a window may be exceeded.
SPARE_REQUESTS = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimit:
    """Rate and burst of a token bucket.

    Attributes
    ----------
    rate_per_s : float
        Requests a second; above 0.
    burst : float
        Requests at once.
    """

    rate_per_s: float
    burst: float

    @classmethod
    def of(cls, customer: Customer) -> "RateLimit":
        """Return the limit of a limited customer, with what is spare."""
        burst = customer.burst + SPARE_REQUESTS
        return cls(rate_per_s=customer.rate_per_s, burst=burst)

    def part(self, share: float) -> "RateLimit":
        """Return a share of the limit."""
        return RateLimit(rate_per_s=self.rate_per_s * share, burst=self.burst * share)

    @property
    def rate_milli_per_s(self) -> int:
        """Thousandths of a request a second; at least one."""
        return max(1, round(self.rate_per_s * MILLI_PER_UNIT))

    @property
    def capacity(self) -> int:
        """Whole requests that pass at once; at least one."""
        return max(1, math.ceil(self.burst))
