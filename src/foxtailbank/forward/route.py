"""Catalogue entries of a deployment whose operator routes by host and path."""

import dataclasses
import enum
import random
import typing as t

from foxtailbank.http1.server_limits import ServerLimits


class RouteKind(enum.Enum):
    """How requests of a route are run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Backend:
    """A service that takes a share of a route.

    Attributes
    ----------
    service : str
        The service.
    weight : float
        Its share relative to the others'.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """What one owner may send, where it goes, and within which limits.

    Attributes
    ----------
    name : str
        Name of the entry.
    owner : str
        Customer that the entry belongs to; the host if none is named.
    host, path_prefix : str
        Which requests it applies to.
    kind : RouteKind
        Class of work, and what may be repeated.
    timeout_ms : int
        Longest time that a caller is kept waiting.
    target_ms : int
        Time within which the first byte is due.
    priority : int
        Rank, 0 is the highest.
    backends : tuple of Backend
        Services that run it.
    max_attempts : int
        Workers that one request may be sent to.
    resumable : bool
        Whether a stream may go on at another worker.
    has_affinity : bool
        Whether requests share prompt prefixes.
    waiting_tokens : int
        Bound on the tokens of accepted items that wait; 0 for none.
    run_deadline_ms : int
        When the results of a submission are due after its first arrival.
    give_up_ms : int
        When an item may be given up after its submission's first arrival.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def choose_service(self, rng: random.Random) -> str:
        """Draw the service that takes the next request, by weight.

        Services without any weight share equally.
        """
        weights = [max(0.0, backend.weight) for backend in self.backends]
        if not any(weights):
            return rng.choice(self.backends).service
        return rng.choices(self.backends, weights)[0].service


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteSet:
    """All routes of one version of the configuration.

    Attributes
    ----------
    version : int
        Rises with each change.
    routes : tuple of Route
        Entries in force.
    limits : ServerLimits
        Bounds on what clients may send.
    reservation_ms_by_service : dict of str to int
        Longest life of a place's reservation, for services that take any.
    """

    version: int
    routes: tuple[Route, ...]
    limits: ServerLimits
    reservation_ms_by_service: t.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
