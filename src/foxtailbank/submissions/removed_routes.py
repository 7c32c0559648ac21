"""Tells a removed route from one that this VM has not read yet."""

from foxtailbank.forward.route_table import RouteTable

# A route missing for longer has been removed; until then its update may be delayed.
ROUTE_REMOVED_MS = 3_000


class RemovedRoutes:
    """Remembers since when submissions have had no route.

    Parameters
    ----------
    routes : RouteTable
        Current routes.
    """

    def __init__(self, *, routes: RouteTable) -> None:
        self._routes = routes
        self._missing_since_ms_by_id: dict[str, int] = {}

    def on_found(self, submission_id: str) -> None:
        """Handle that a submission has a route."""
        self._missing_since_ms_by_id.pop(submission_id, None)

    def is_removed(self, submission_id: str, now_ms: int) -> bool:
        """Return whether the route of a submission without one has been removed."""
        since_ms = self._missing_since_ms_by_id.setdefault(submission_id, now_ms)
        is_missing_long = now_ms - since_ms > ROUTE_REMOVED_MS
        # Routes of an old configuration can lack one that was added since.
        return is_missing_long and self._routes.is_recent(ROUTE_REMOVED_MS)
