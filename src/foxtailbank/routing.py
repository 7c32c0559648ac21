"""Routers, which choose the endpoint for a request."""

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
AFFINITY_CANDIDATES = 3
AFFINITY_BOUND = 1.25
_MASK_64 = (1 << 64) - 1
_MIX = 0x9E3779B97F4A7C15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteRequest:
    """Properties of a request that its routing depends on.

    Attributes
    ----------
    zone : str
        Availability zone of this VM.
    prefix_digest : int
        64-bit digest of the prompt's prefix; 0 if there is no prefix.
    tried : frozenset of str
        Endpoints that are excluded because an attempt failed there.
    isolation : Isolation
        Which other requests may run on the same endpoint.
    """

    zone: str = ""
    prefix_digest: int = 0
    tried: frozenset[str] = frozenset()
    isolation: Isolation = Isolation.NONE


def is_eligible(request: RouteRequest, view: EndpointView) -> bool:
    """Return whether a request may be sent to an endpoint.

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
    return request.isolation is Isolation.EXCLUSIVE and view.is_idle


class Router(abc.ABC):
    """Chooses an endpoint for each request."""

    @abc.abstractmethod
    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        """Choose one of the eligible endpoints."""

    @abc.abstractmethod
    def _sample(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        """Return the candidates to consider in a large pool."""

    def choose(
        self,
        request: RouteRequest,
        candidates: t.Sequence[EndpointView],
        now_ms: int,
    ) -> EndpointView | Missing:
        """Return the endpoint for a request.

        In a pool larger than `SAMPLE_SIZE`, only a sample is considered first, and the
        whole pool if no endpoint of the sample is eligible. A half-open endpoint is
        chosen only if no other is eligible; otherwise a health check probes it.

        Parameters
        ----------
        request : RouteRequest
            The request.
        candidates : sequence of EndpointView
            Endpoints of the request's pool.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        EndpointView or Missing
            The chosen endpoint, or the reason why there is none.
        """
        if len(candidates) > SAMPLE_SIZE:
            sampled = self._sample(request, candidates)
            eligible = [view for view in sampled if is_eligible(request, view)]
            if eligible:
                return self._pick(request, eligible)
        eligible = [view for view in candidates if is_eligible(request, view)]
        if eligible:
            return self._pick(request, eligible)
        if request.isolation is Isolation.EXCLUSIVE:
            return NO_IDLE_ENDPOINT
        return self._choose_probe_target(request, candidates)

    def _choose_probe_target(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> EndpointView | Missing:
        for view in candidates:
            if view.health is not BreakerState.HALF_OPEN:
                continue
            if view.draining or view.reserved or view.endpoint_id in request.tried:
                continue
            return view
        return NO_ENDPOINT


class RoundRobinRouter(Router):
    """Chooses endpoints in turn, regardless of load; a baseline for comparison."""

    def __init__(self) -> None:
        self._counter = 0

    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        self._counter += 1
        return eligible[self._counter % len(eligible)]

    def _sample(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        start = self._counter % (len(candidates) - SAMPLE_SIZE + 1)
        return candidates[start : start + SAMPLE_SIZE]


class LeastLoadedRouter(Router):
    """Chooses the least loaded endpoint and prefers this VM's availability zone.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for tie-breaking, so that VMs with equal views don't all
        choose the same endpoint.
    zone_excess_streams : int
        Number of streams by which the least loaded endpoint of this VM's
        availability zone may exceed the least loaded of all zones before the request
        is sent to another zone.
    """

    def __init__(
        self, *, rng: random.Random, zone_excess_streams: int = ZONE_EXCESS_STREAMS
    ) -> None:
        self._rng = rng
        self._zone_excess_streams = zone_excess_streams

    def _pick(
        self, request: RouteRequest, eligible: t.Sequence[EndpointView]
    ) -> EndpointView:
        local = [view for view in eligible if view.zone == request.zone]
        best = self._least_loaded(eligible)
        if not local:
            return best
        best_local = self._least_loaded(local)
        if best_local.load > best.load + self._zone_excess_streams:
            return best
        return best_local

    def _sample(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        return self._rng.choices(candidates, k=SAMPLE_SIZE)

    def _least_loaded(self, views: t.Sequence[EndpointView]) -> EndpointView:
        min_load = min(view.load for view in views)
        return self._rng.choice([view for view in views if view.load == min_load])


class PrefixAffinityRouter(Router):
    """Sends requests with the same prompt prefix to the same endpoint.

    The endpoint is chosen by rendezvous hashing, and used while its load is bounded.

    Parameters
    ----------
    fallback : Router
        Used when there is no prefix or the preferred endpoint is over the bound.
    bound : float
        Maximum load of the preferred endpoint, as a multiple of the mean load.
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
        preferred = self._preferred(request.prefix_digest, eligible)
        total = sum(view.load for view in eligible) + 1
        if preferred.load + 1 <= self._bound * total / len(eligible) + 1:
            return preferred
        return self._fallback._pick(request, eligible)

    def _sample(
        self, request: RouteRequest, candidates: t.Sequence[EndpointView]
    ) -> t.Sequence[EndpointView]:
        sampled = self._fallback._sample(request, candidates)
        if request.prefix_digest == 0:
            return sampled
        digest = request.prefix_digest
        preferred = heapq.nlargest(
            AFFINITY_CANDIDATES,
            candidates,
            key=lambda view: self._score(digest, view.endpoint_id),
        )
        return [*preferred, *sampled]

    def _preferred(self, digest: int, views: t.Sequence[EndpointView]) -> EndpointView:
        return max(views, key=lambda view: self._score(digest, view.endpoint_id))

    def _score(self, digest: int, endpoint_id: str) -> int:
        seed = self._seeds_by_id.get(endpoint_id)
        if seed is None:
            seed = xxhash.xxh64_intdigest(endpoint_id)
            self._seeds_by_id[endpoint_id] = seed
        mixed = ((digest ^ seed) * _MIX) & _MASK_64
        return ((mixed ^ (mixed >> 29)) * _MIX) & _MASK_64
