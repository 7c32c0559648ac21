"""The routes in force on this VM."""

import collections
import typing as t

from foxtailbank.forward.route import Route, RouteSet
from foxtailbank.http1.server_limits import ServerLimits


class RouteTable:
    """Newest version of the configuration; it never goes back.

    Attributes
    ----------
    version : int
        Version in force; -1 before the first.
    limits : ServerLimits
        Bounds of that version.
    """

    def __init__(self) -> None:
        self.version = -1
        self.limits = ServerLimits()
        self._routes_by_host: dict[str, list[Route]] = {}
        self._reservation_ms_by_service: t.Mapping[str, int] = {}

    @property
    def known(self) -> bool:
        """Whether any version is in force."""
        return self.version >= 0

    def apply(self, routes: RouteSet) -> bool:
        """Put a version in force; false if it is not newer."""
        if routes.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = collections.defaultdict(list)
        for route in routes.routes:
            by_host[route.host].append(route)
        for listed in by_host.values():
            listed.sort(key=lambda route: -len(route.path_prefix))
        self._routes_by_host = dict(by_host)
        self.limits = routes.limits
        self._reservation_ms_by_service = routes.reservation_ms_by_service
        self.version = routes.version
        return True

    def reservation_ms(self, service: str) -> int:
        """Return how long a service's workers reserve a place at most; 0 for never."""
        return self._reservation_ms_by_service.get(service, 0)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request: the longest prefix of its host wins."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
