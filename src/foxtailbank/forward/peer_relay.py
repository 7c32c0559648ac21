"""Ways to the workers that lead through other VMs.

Meant for a VM that is cut off from all workers while its callers, the store and its
peers still reach it. It carries a request to a peer that reaches the workers; the peer
makes one attempt and does not pass it on again.
"""

import collections
import contextlib
import copy
import random
import typing as t

from foxtailbank.clock import Clock
from foxtailbank.fleet.peer_table import Peer, PeerTable
from foxtailbank.fleet.worker_reach import WorkerReach
from foxtailbank.relay.relay_client import RelayClient

MAX_RELAYED = 64  # requests at a time, of one VM or for others at one VM
MAX_PEERS_ASKED = 2  # for one request


class PeerRelay:
    """Chooses the VM that carries out an attempt.

    Parameters
    ----------
    vm_id : str
        This VM.
    reach : WorkerReach
        Services that this VM has lost.
    peers : PeerTable
        The other VMs.
    client : RelayClient
        Connections to them.
    clock : Clock
        Source of time.
    rng : random.Random
        Draws among equal peers.

    Attributes
    ----------
    vm_id, client
        The parameters of the same names.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        reach: WorkerReach,
        peers: PeerTable,
        client: RelayClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.vm_id = vm_id
        self.client = client
        self._reach = reach
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._in_flight_by_peer: collections.Counter[str] = collections.Counter()
        self._accepted = 0

    def fork(self, rng: random.Random) -> "PeerRelay":
        """Return a copy that draws from another generator, to be asked only."""
        fork = copy.copy(self)
        fork._rng = rng
        return fork

    def is_needed(self, services: t.Collection[str]) -> bool:
        """Return whether this VM reaches no worker of the services."""
        return all(self._reach.is_lost(service) for service in services)

    def choose(
        self, services: t.Collection[str], asked: t.Collection[str]
    ) -> Peer | None:
        """Return a peer that reaches workers of the services, or None.

        Parameters
        ----------
        services : collection of str
            Services that may run the request.
        asked : collection of str
            Ids of peers that did not run the request.
        """
        if len(asked) >= MAX_PEERS_ASKED:
            return None
        if self._in_flight_by_peer.total() >= MAX_RELAYED:
            return None
        able = [
            peer
            for peer in self._peers.alive(self._clock.now_ms())
            if peer.vm_id not in asked and not peer.lost_services.issuperset(services)
        ]
        return min(able, key=self._cost) if able else None

    @contextlib.contextmanager
    def sending(self, peer: Peer) -> t.Iterator[None]:
        """Count a request as carried by a peer."""
        self._in_flight_by_peer[peer.vm_id] += 1
        try:
            yield
        finally:
            self._in_flight_by_peer[peer.vm_id] -= 1

    def may_accept(self, services: t.Collection[str]) -> bool:
        """Return whether this VM can carry out a request of another VM."""
        return self._accepted < MAX_RELAYED and not self.is_needed(services)

    @contextlib.contextmanager
    def accepting(self) -> t.Iterator[None]:
        """Count a request of another VM."""
        self._accepted += 1
        try:
            yield
        finally:
            self._accepted -= 1

    def _cost(self, peer: Peer) -> tuple[int, bool, float]:
        is_far = not self._peers.is_near(peer)
        return (self._in_flight_by_peer[peer.vm_id], is_far, self._rng.random())
