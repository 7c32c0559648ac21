"""Customer lookup by name and by key."""

import typing as t

from foxtailbank.customers.customer import Customer, Identity


class CustomerTable:
    """Customers of one version of the configuration.

    Parameters
    ----------
    customers : iterable of Customer
        All customers. Without any, requests need no key.
    """

    def __init__(self, *, customers: t.Iterable[Customer] = ()) -> None:
        self._by_name = {customer.name: customer for customer in customers}
        self._by_key_hash = {
            key_hash: customer
            for customer in self._by_name.values()
            for key_hash in customer.key_hashes
        }

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, except on public routes."""
        return bool(self._by_name)

    def get(self, name: str) -> Customer | None:
        """Return a customer, or None if the name is not known."""
        return self._by_name.get(name)

    def all(self) -> tuple[Customer, ...]:
        """Return all customers."""
        return tuple(self._by_name.values())

    def identify(self, key_hash: str) -> Identity | None:
        """Return the holder of a key; None if no customer holds it."""
        customer = self._by_key_hash.get(key_hash)
        if customer is None:
            return None
        return Identity(customer=customer, key_hash=key_hash)
