"""Decides whose a request is and whether it may be passed on."""

from foxtailbank.customers.customer import Identity
from foxtailbank.entry import key_hash
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.forward.route import Route
from foxtailbank.forward.route_table import RouteTable


class KeyUnknown(FoxtailbankError):
    """No customer holds the key of the request."""

    code = "key_unknown"
    status = 401


class CustomerGate:
    """Finds the customer that a request belongs to.

    Parameters
    ----------
    routes : RouteTable
        Routes and customers in force.
    """

    def __init__(self, *, routes: RouteTable) -> None:
        self._routes = routes

    def needs_key(self, route: Route | None) -> bool:
        """Return whether a request needs a key.

        Parameters
        ----------
        route : Route or None
            Route that it matched; None for calls that concern no single route.
        """
        is_public = route is not None and route.is_public
        return self._routes.customers.requires_keys and not is_public

    def identify(self, key: str, route: Route | None = None) -> Identity | None:
        """Return who sent a request; None if it needs no key.

        Parameters
        ----------
        key : str
            Key that the request bore; empty without one.
        route : Route, optional
            Route that it matched.

        Raises
        ------
        KeyUnknown
            It needs a key and bears none that a customer holds.
        """
        if not self.needs_key(route):
            return None
        identity = self._routes.customers.identify(key_hash(key)) if key else None
        if identity is None:
            raise KeyUnknown(detail="no customer holds the key")
        return identity

    def identify_relayed(self, hashed_key: str, route: Route) -> Identity | None:
        """Return who sent a request that another VM passed on; see `identify`."""
        if not self.needs_key(route):
            return None
        identity = self._routes.customers.identify(hashed_key)
        if identity is None:
            raise KeyUnknown(detail="no customer holds the key")
        return identity
