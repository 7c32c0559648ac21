"""Assigns endpoints to the VMs that run their batch work, from live views."""

import typing as t

from foxtailbank import peer_messages as pm
from foxtailbank.backend import Backend
from foxtailbank.breaker import BreakerState
from foxtailbank.endpoint import Endpoint
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.ownership import Candidate, Placement
from foxtailbank.sentinels import Missing


class FleetPlacement:
    """Placement of each pool, rebuilt when the live views change.

    Parameters
    ----------
    directory : EndpointDirectory
        Known endpoints.
    vm_id : str
        This VM.

    Attributes
    ----------
    placements_by_pool : dict of str to Placement
        Current placement of each model or service.
    owned_ids : frozenset of str
        Endpoints whose batch work this VM runs.
    """

    def __init__(self, *, directory: EndpointDirectory, vm_id: str) -> None:
        self._directory = directory
        self._vm_id = vm_id
        self._last_inputs: tuple[t.Any, ...] = ()
        self.placements_by_pool: dict[str, Placement] = {}
        self.owned_ids: frozenset[str] = frozenset()

    def refresh(self, members: t.Iterable[pm.MemberRecord], now_ms: int) -> bool:
        """Rebuild the placement if the live views changed; return whether they did.

        Parameters
        ----------
        members : iterable of MemberRecord
            Live entry VMs, including this one.
        now_ms : int
            Current time in milliseconds.
        """
        vms = tuple(
            Candidate(candidate_id=member.vm_id, zone=member.zone) for member in members
        )
        endpoints_by_pool = {
            pool: tuple(
                candidate_of(backend)
                for backend in self._directory.backends_in_pool(pool)
                if _is_live(backend, now_ms)
            )
            for pool in self._directory.pool_names()
        }
        inputs = (vms, tuple(sorted(endpoints_by_pool.items())))
        if inputs == self._last_inputs:
            return False
        self._last_inputs = inputs
        self.placements_by_pool = {
            pool: Placement(endpoints=endpoints, vms=vms)
            for pool, endpoints in endpoints_by_pool.items()
        }
        self.owned_ids = frozenset(
            endpoint_id
            for endpoint_id, backend in self._directory.backends_by_id.items()
            if self.owner_of(backend) == self._vm_id
        )
        return True

    def owner_of(self, backend: Backend) -> str:
        """Return the id of the VM that runs an endpoint's batch work, or ``""``."""
        placement = self.placements_by_pool.get(backend.vm.pool)
        if placement is None:
            return ""
        owner = placement.owner_of_endpoint(candidate_of(backend))
        return "" if isinstance(owner, Missing) else owner.candidate_id


def candidate_of(backend: Backend) -> Candidate:
    """Return an endpoint as a candidate for chunks."""
    return Candidate(candidate_id=backend.endpoint_id, zone=backend.vm.zone)


def _is_live(backend: Backend, now_ms: int) -> bool:
    health = backend.health(now_ms)
    if isinstance(backend.service, Endpoint):
        # Load reports close the circuit breaker, so batch work need not probe a
        # half-open one.
        is_usable = health is BreakerState.CLOSED
    else:
        is_usable = health is not BreakerState.OPEN
    return is_usable and not backend.is_leaving(now_ms)
