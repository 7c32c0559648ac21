"""Choice of the endpoint that a request goes to."""

import abc
import dataclasses
import heapq
import random
import typing as t

import xxhash

from foxtailbank.breaker import BreakerState
from foxtailbank.endpoint_view import EndpointView
from foxtailbank.isolation import Isolation
from foxtailbank.sentinels import NO_ENDPOINT, Missing

NO_IDLE_ENDPOINT = Missing(reason="no_idle_endpoint")
ZONE_EXCESS_STREAMS = 4
SAMPLE_SIZE = 64
AFFINE_CHOICES = 3
AFFINITY_BOUND = 1.25
_MASK_64 = (1 << 64) - 1
_MIX = 0x9E3779B97F4A7C15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteRequest:
    """What a choice depends on.

    Attributes
    ----------
    zone : str
        Availability zone of the choosing VM.
    prefix_digest : int
        64-bit digest of the prompt's prefix; 0 without one.
    tried : frozenset of str
        Endpoints that this request has been to.
    isolation : Isolation
        What the request may share an endpoint with.
    """

    zone: str = ""
    prefix_digest: int = 0
    tried: frozenset[str] = frozenset()
    isolation: Isolation = Isolation.NONE


def is_eligible(request: RouteRequest, view: EndpointView) -> bool:
    """Return whether an endpoint may be given a request.

    Parameters
    ----------
    request : RouteRequest
        The request.
    view : EndpointView
        The endpoint.
    """
    if view.draining or view.reserved or view.health is not BreakerState.CLOSED:
        return False
    if view.endpoint_id in request.tried:
        return False
    if request.isolation is Isolation.NONE:
        return True
    if request.isolation is Isolation.SOLE_SUSPECT:
        return not view.suspect
    return request.isolation is Isolation.EXCLUSIVE and view.idle


class Router(abc.ABC):
    """Chooses an endpoint for each request."""

    @abc.abstractmethod
    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        """Choose among endpoints that all may be given the request."""

    @abc.abstractmethod
    def _draw(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        """Return the part of a large pool that the choice is made from."""

    def choose(
        self,
        request: RouteRequest,
        candidates: t.Sequence[EndpointView],
        now_ms: int,
    ) -> EndpointView | Missing:
        """Return the endpoint for a request.

        Of a pool larger than `SAMPLE_SIZE` a part is looked at, and the whole pool
        only if that part offers no choice. A half-open endpoint is chosen when there
        is no other; else it waits for the probe of a health check.

        Parameters
        ----------
        request : RouteRequest
            The request.
        candidates : sequence of EndpointView
            Endpoints of the request's pool.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        EndpointView or Missing
            The choice, or why there is none.
        """
        if len(candidates) > SAMPLE_SIZE:
            drawn = self._draw(request, candidates)
            eligible = [view for view in drawn if is_eligible(request, view)]
            if eligible:
                return self._pick(request, eligible)
        eligible = [view for view in candidates if is_eligible(request, view)]
        if eligible:
            return self._pick(request, eligible)
        if request.isolation is Isolation.EXCLUSIVE:
            return NO_IDLE_ENDPOINT
        return self._probe(request, candidates)

    def _probe(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> EndpointView | Missing:
        for view in candidates:
            if view.health is not BreakerState.HALF_OPEN:
                continue
            if view.draining or view.reserved or view.endpoint_id in request.tried:
                continue
            return view
        return NO_ENDPOINT


class FifoRouter(Router):
    """Passes requests on in turn; the baseline that knows no load."""

    def __init__(self) -> None:
        self._turn = 0

    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        self._turn += 1
        return eligible[self._turn % len(eligible)]

    def _draw(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        start = self._turn % (len(candidates) - SAMPLE_SIZE + 1)
        return candidates[start : start + SAMPLE_SIZE]


class LeastLoadedRouter(Router):
    """Takes the least loaded endpoint, in the own availability zone first.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that VMs with equal views spread out.
    zone_excess_streams : int
        Streams by which the own availability zone's best may exceed the best of
        the others before the request leaves the zone.
    """

    def __init__(
        self, *, rng: random.Random, zone_excess_streams: int = ZONE_EXCESS_STREAMS
    ) -> None:
        self._rng = rng
        self._zone_excess_streams = zone_excess_streams

    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        own = [view for view in eligible if view.zone == request.zone]
        best = self._least(eligible)
        if not own:
            return best
        best_own = self._least(own)
        if best_own.load > best.load + self._zone_excess_streams:
            return best
        return best_own

    def _draw(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        return self._rng.choices(candidates, k=SAMPLE_SIZE)

    def _least(self, views: t.Sequence[EndpointView]) -> EndpointView:
        least = min(view.load for view in views)
        return self._rng.choice([view for view in views if view.load == least])


class PrefixAffinityRouter(Router):
    """Sends equal prompt prefixes to the same endpoint while its load is bounded.

    Parameters
    ----------
    fallback : Router
        Chooses when there is no prefix or the affine endpoint is over the bound.
    bound : float
        Most load of the affine endpoint, as a multiple of the mean load.
    """

    def __init__(self, *, fallback: Router, bound: float = AFFINITY_BOUND) -> None:
        self._fallback = fallback
        self._bound = bound
        self._seeds_by_id: dict[str, int] = {}

    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        if request.prefix_digest == 0:
            return self._fallback._pick(request, eligible)
        affine = self._affine(request.prefix_digest, eligible)
        total = sum(view.load for view in eligible) + 1
        if affine.load + 1 <= self._bound * total / len(eligible) + 1:
            return affine
        return self._fallback._pick(request, eligible)

    def _draw(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        drawn = self._fallback._draw(request, candidates)
        if request.prefix_digest == 0:
            return drawn
        digest = request.prefix_digest
        affine = heapq.nlargest(
            AFFINE_CHOICES,
            candidates,
            key=lambda view: self._score(digest, view.endpoint_id),
        )
        return [*affine, *drawn]

    def _affine(self, digest: int, views: t.Sequence[EndpointView]) -> EndpointView:
        return max(views, key=lambda view: self._score(digest, view.endpoint_id))

    def _score(self, digest: int, endpoint_id: str) -> int:
        seed = self._seeds_by_id.get(endpoint_id)
        if seed is None:
            seed = xxhash.xxh64_intdigest(endpoint_id)
            self._seeds_by_id[endpoint_id] = seed
        mixed = ((digest ^ seed) * _MIX) & _MASK_64
        return ((mixed ^ (mixed >> 29)) * _MIX) & _MASK_64
