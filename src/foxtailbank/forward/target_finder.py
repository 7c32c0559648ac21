"""Finds where each attempt of an online request is sent."""

import typing as t

from foxtailbank.fleet.placement import Refusal, RefusalReason
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.attempt_target import AttemptTarget
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.peer_target import PeerTarget
from foxtailbank.forward.route import Route
from foxtailbank.forward.slot_finder import Foresight, SlotFinder
from foxtailbank.forward.worker_target import WorkerTarget


class TargetFinder:
    """Finds a worker, or a VM that reaches workers if this one does not.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Route that it matched.
    recorder : CallRecorder
        Notified of each refused reservation.
    context : ForwardContext
        Components shared by all requests.
    tried : iterable of str
        Ids of workers that must not get the request.
    may_relay : bool
        Whether another VM may carry out an attempt.
    """

    def __init__(
        self,
        *,
        call: Call,
        route: Route,
        recorder: CallRecorder,
        context: ForwardContext,
        tried: t.Iterable[str],
        may_relay: bool,
    ) -> None:
        self._route = route
        self._customer_name = call.customer_name
        self._client = context.client
        self._fleet = context.fleet
        self._relay = context.relay if may_relay else None
        self._slots = SlotFinder(
            call=call, route=route, recorder=recorder, context=context
        )
        self._tried: set[str] = set(tried)
        self._not_connected: set[str] = set()
        self._asked_peer_ids: set[str] = set()
        self._last_peer: PeerTarget | None = None

    async def find(
        self, *, remaining_ms: float, origin: StreamOrigin | None
    ) -> AttemptTarget | Refusal:
        """Return the next target, or the reason why there is none.

        Parameters
        ----------
        remaining_ms : float
            Remaining time of the caller.
        origin : StreamOrigin or None
            Software that began the stream which the request continues.
        """
        if peer_target := self._find_peer():
            return peer_target
        if self._last_peer is not None and self._has_lost_workers:
            return self._peer_refusal(self._last_peer)
        if self._tried and self._has_lost_workers:
            # The last one may have come back; that each is asked in turn takes long.
            return Refusal(reason=RefusalReason.NO_WORKERS, wait_ms=0)
        assignment = await self._slots.find(
            tried=self._tried, remaining_ms=remaining_ms, origin=origin
        )
        if isinstance(assignment, Refusal):
            return assignment
        self._tried.add(assignment.choice.worker.worker_id)
        return WorkerTarget(
            assignment=assignment,
            client=self._client,
            fleet=self._fleet,
            customer_name=self._customer_name,
        )

    def foresee(
        self, *, remaining_ms: float, origin: StreamOrigin | None
    ) -> Foresight | PeerTarget:
        """Return what `find` begins with for the first attempt; sends nothing.

        Only for a context from `forward_fork`; see `SlotFinder.foresee`.
        """
        if peer_target := self._find_peer():
            return peer_target
        return self._slots.foresee(
            tried=self._tried, remaining_ms=remaining_ms, origin=origin
        )

    def on_not_connected(self, target: AttemptTarget) -> None:
        """Let other VMs send the request to a worker that did not get it."""
        self._not_connected.add(target.endpoint_id)

    def on_ended(self, target: AttemptTarget) -> None:
        """Exclude the worker of an attempt that another VM made."""
        if target.endpoint_id:
            self._tried.add(target.endpoint_id)

    @property
    def _has_lost_workers(self) -> bool:
        return all(map(self._fleet.reach.is_lost, self._route.services))

    def _find_peer(self) -> PeerTarget | None:
        if self._relay is None or not self._has_lost_workers:
            return None
        peer = self._relay.choose(self._route.services, self._asked_peer_ids)
        if peer is None:
            return None
        self._asked_peer_ids.add(peer.vm_id)
        self._last_peer = PeerTarget(
            peer=peer, relay=self._relay, tried=self._tried - self._not_connected
        )
        return self._last_peer

    def _peer_refusal(self, target: PeerTarget) -> Refusal:
        wait_ms = target.result.wait_ms if target.result is not None else 0
        return Refusal(reason=RefusalReason.NO_WORKERS, wait_ms=wait_ms)
