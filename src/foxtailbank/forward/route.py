"""Routes by host and path, from the catalogue entries of a deployment."""

import dataclasses
import enum
import random
import typing as t

from foxtailbank.customers.customer import Customer
from foxtailbank.http1.server_limits import ServerLimits

GIVE_UP_MARGIN_MS = 5_000  # VM clocks differ


class RouteKind(enum.Enum):
    """How the requests of a route are run and whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Backend:
    """A service that receives a share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the other backends.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests that one owner may send, their backends and limits.

    Attributes
    ----------
    name : str
        Name of the entry.
    owner : str
        Customer that the entry belongs to; the host if it names none.
    host, path_prefix : str
        Host and path prefix of the requests that it matches.
    kind : RouteKind
        Class of work, which determines whether requests may be repeated.
    timeout_ms : int
        Longest time that a caller waits for the response.
    target_ms : int
        Time within which the first byte is due.
    priority : int
        Priority; 0 is the highest.
    backends : tuple of Backend
        Services that run the requests.
    max_attempts : int
        Number of workers that one request may be sent to.
    resumable : bool
        Whether a broken stream may be resumed on another worker.
    has_affinity : bool
        Whether requests share prompt prefixes.
    waiting_tokens : int
        Limit on the tokens of accepted items that wait; 0 for no limit.
    run_deadline_ms : int
        Time after a submission's first arrival at which its results are due.
    give_up_ms : int
        Time after a submission's first arrival at which an item may be given up.
    is_public : bool
        Whether its requests need no key, also where customers hold keys.
    """

    name: str
    owner: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    resumable: bool = False
    has_affinity: bool = False
    waiting_tokens: int = 0
    run_deadline_ms: int = 0
    give_up_ms: int = 0
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    @property
    def services(self) -> frozenset[str]:
        """Names of the services that may run its requests."""
        return frozenset(backend.service for backend in self.backends)

    def may_give_up(self, age_ms: int) -> bool:
        """Return whether an item may be given up so long after its submission."""
        if not self.give_up_ms:
            return False
        return age_ms > self.give_up_ms + GIVE_UP_MARGIN_MS

    def choose_service(self, rng: random.Random) -> str:
        """Draw the service of the next request by weight.

        If no service has a positive weight, all are equally likely.
        """
        weights = [max(0.0, backend.weight) for backend in self.backends]
        if not any(weights):
            return rng.choice(self.backends).service
        return rng.choices(self.backends, weights)[0].service


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteSet:
    """Routes and limits of one version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
        All routes.
    limits : ServerLimits
        Limits on what clients may send.
    reservation_ms_by_service : dict of str to int
        Maximum lifetime of a slot reservation, for services that support them.
    customers : tuple of Customer
        All customers; without any, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: ServerLimits
    reservation_ms_by_service: t.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    customers: tuple[Customer, ...] = ()
