"""Decides whose a request is and whether it may be passed on."""

from foxtailbank.customers.customer import Customer, Identity
from foxtailbank.customers.key_lease import KeyLease, KeyLeaseLapsed
from foxtailbank.entry import key_hash
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.forward.route import Route
from foxtailbank.forward.route_table import RouteTable


class KeyUnknown(FoxtailbankError):
    """No customer holds the key of the request."""

    code = "key_unknown"
    status = 401


class ConfigurationsDiffer(FoxtailbankError):
    """Another VM's configuration says something else of a request than this one's."""

    code = "configurations_differ"
    status = 503


class CustomerGate:
    """Finds the customer that a request belongs to.

    Parameters
    ----------
    routes : RouteTable
        Routes and customers in force.
    lease : KeyLease
        Bounds the age of what is known of keys.
    """

    def __init__(self, *, routes: RouteTable, lease: KeyLease) -> None:
        self._routes = routes
        self._lease = lease

    def needs_key(self, route: Route | None) -> bool:
        """Return whether a request needs a key.

        Parameters
        ----------
        route : Route or None
            Route that it matched; None for calls that concern no single route.
        """
        is_public = route is not None and route.is_public
        return self._routes.customers.requires_keys and not is_public

    async def admit(self, key: str, route: Route) -> Identity | None:
        """Return who sent a request that leads to a run; None if it needs no key.

        Parameters
        ----------
        key : str
            Key that the request bore; empty without one.
        route : Route
            Route that it matched.

        Raises
        ------
        KeyLeaseLapsed
            The configuration is too old to tell.
        KeyUnknown, KeysOutdated
            As for `identify`.
        """
        if not self.needs_key(route):
            return None
        if key:
            await self._lease.renew()
        return await self.identify(key)

    def admit_named(self, name: str, route: Route) -> Customer | None:
        """Return the customer as whose a request of it counts; reads nothing.

        `admit` first reads the configuration anew where this raises `KeyLeaseLapsed`.

        Parameters
        ----------
        name : str
            Customer whose key the request would bear; empty for no key.
        route : Route
            Route that it matched.

        Raises
        ------
        KeyLeaseLapsed
            The configuration is too old to tell.
        KeyUnknown
            There is no key, or no such customer that holds one.
        """
        if not self.needs_key(route):
            return None
        if not name:
            raise KeyUnknown(detail="no key")
        if not self._lease.is_fresh:
            raise KeyLeaseLapsed(detail=f"configuration of {self._lease.age_ms} ms ago")
        customer = self._routes.customers.get(name)
        if customer is None or not customer.key_hashes:
            raise KeyUnknown(detail="no customer of this name holds a key")
        return customer

    async def identify(self, key: str) -> Identity:
        """Return who holds a key, also by a configuration older than the lease.

        Raises
        ------
        KeyUnknown
            There is no key, or no customer holds it.
        KeysOutdated
            The key is unknown, and may have been added since.
        """
        if not key:
            raise KeyUnknown(detail="no key")
        return await self._find(key_hash(key))

    async def admit_relayed(self, hashed_key: str, route: Route) -> Identity | None:
        """Return who sent a request that another VM passed on; see `admit`.

        Raises
        ------
        ConfigurationsDiffer
            One of the two VMs wants a key and the other does not.
        """
        needs_key = self.needs_key(route)
        if bool(hashed_key) != needs_key:
            raise ConfigurationsDiffer()
        if not needs_key:
            return None
        await self._lease.renew()
        return await self._find(hashed_key)

    async def check(self, identity: Identity | None) -> None:
        """Check once more that the key of an admitted request counts.

        Parameters
        ----------
        identity : Identity or None
            Who sent it, as it was admitted.

        Raises
        ------
        KeyUnknown
            The customer does not hold the key any more.
        KeyLeaseLapsed
            The configuration is too old to tell.
        """
        if identity is None:
            return
        await self._lease.renew()
        customers = self._routes.customers
        if not customers.requires_keys:
            return
        current = customers.identify(identity.key_hash)
        if current is None or current.customer.name != identity.customer.name:
            raise KeyUnknown(detail="the key was taken away")

    async def _find(self, hashed_key: str) -> Identity:
        identity = self._routes.customers.identify(hashed_key)
        if identity is None:
            await self._lease.read_new_keys()
            identity = self._routes.customers.identify(hashed_key)
        if identity is None:
            raise KeyUnknown(detail="no customer holds the key")
        return identity
