"""A customer of a deployment."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer, as the configuration names it.

    Attributes
    ----------
    name : str
        Name, unique in the deployment.
    priority : int
        Priority of its requests; 0 is the highest.
    rate_per_s : float
        Requests a second that all VMs together may pass on; 0 for no limit.
    burst : float
        Requests beyond the rate that may be passed on at once.
    key_hashes : frozenset of str
        Hashes of the keys that it holds.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    key_hashes: frozenset[str] = frozenset()

    @property
    def is_limited(self) -> bool:
        """Whether its requests are limited in number."""
        return self.rate_per_s > 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """Who sent a request.

    Attributes
    ----------
    customer : Customer
        Holder of the key.
    key_hash : str
        Hash of the key that the request bore.
    """

    customer: Customer
    key_hash: str
