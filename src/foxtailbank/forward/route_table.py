"""Route lookup."""

import collections
import typing as t

from foxtailbank.customers.customer_table import CustomerTable
from foxtailbank.fleet.configuration_reading import ConfigurationReading, version_mark
from foxtailbank.fleet.stream_lifetimes import StreamLifetimes
from foxtailbank.forward.route import Route, RouteKind, RouteSet
from foxtailbank.http1.server_limits import ServerLimits


class RouteTable:
    """Routes of the newest version of the configuration.

    An older version never replaces a newer one.

    Attributes
    ----------
    version : int
        Current version; -1 before the first is applied.
    limits : ServerLimits
        Limits of that version.
    customers : CustomerTable
        Customers of that version.
    stream_lifetimes : StreamLifetimes
        Greatest age of a stream that a client may take up again.
    """

    def __init__(self) -> None:
        self.version = -1
        self.limits = ServerLimits()
        self.customers = CustomerTable()
        self.stream_lifetimes = StreamLifetimes()
        self._routes_by_host: dict[str, list[Route]] = {}
        self._batch_routes_by_name: dict[str, Route] = {}
        self._has_public_batch_routes = False
        self._reservation_ms_by_service: t.Mapping[str, int] = {}
        self._age_ms: t.Callable[[], int | None] = lambda: 0
        self._listeners: list[t.Callable[[], None]] = []

    def add_listener(self, listener: t.Callable[[], None]) -> None:
        """Add a function to call after a version was applied."""
        self._listeners.append(listener)

    def set_age_source(self, age_ms: t.Callable[[], int | None]) -> None:
        """Set the function that tells how old the routes may be.

        Parameters
        ----------
        age_ms : callable
            Returns milliseconds, or None if the age is not known.
        """
        self._age_ms = age_ms

    @property
    def has_public_batch_routes(self) -> bool:
        """Whether submissions can be made without a key where others need one."""
        return self._has_public_batch_routes

    @property
    def age_ms(self) -> int | None:
        """How old the routes may be in milliseconds; None if that is not known."""
        return self._age_ms() if self.is_loaded else None

    @property
    def reading(self) -> ConfigurationReading | None:
        """The current version and its age; None if one of them is not known."""
        age_ms = self.age_ms
        if age_ms is None:
            return None
        return ConfigurationReading(mark=version_mark(self.version), age_ms=age_ms)

    def is_recent(self, max_age_ms: int) -> bool:
        """Whether the routes are known to be at most so many milliseconds old."""
        age_ms = self.age_ms
        return age_ms is not None and age_ms <= max_age_ms

    @property
    def is_loaded(self) -> bool:
        """Whether any version has been applied."""
        return self.version >= 0

    def apply(self, routes: RouteSet) -> bool:
        """Apply a version; false if it is not newer than the current one."""
        if routes.version <= self.version:
            return False
        routes_by_host: dict[str, list[Route]] = collections.defaultdict(list)
        for route in routes.routes:
            routes_by_host[route.host].append(route)
            if route.resumable:
                self.stream_lifetimes.on_wait(route.services, route.timeout_ms)
        for host_routes in routes_by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))
        self._routes_by_host = dict(routes_by_host)
        self._batch_routes_by_name = {
            route.name: route
            for route in routes.routes
            if route.kind is RouteKind.BATCH
        }
        self._has_public_batch_routes = any(
            route.is_public for route in self._batch_routes_by_name.values()
        )
        self.limits = routes.limits
        self.customers = CustomerTable(customers=routes.customers)
        self._reservation_ms_by_service = routes.reservation_ms_by_service
        self.version = routes.version
        for listener in self._listeners:
            listener()
        return True

    def reservation_ms(self, service: str) -> int:
        """Return the maximum lifetime of a slot reservation; 0 if not supported."""
        return self._reservation_ms_by_service.get(service, 0)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_batch(self, name: str) -> Route | None:
        """Return the batch route of a name."""
        return self._batch_routes_by_name.get(name)
