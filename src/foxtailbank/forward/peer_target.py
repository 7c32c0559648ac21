"""An attempt that another VM carries out."""

import contextlib
import typing as t

from foxtailbank.fleet.peer_table import Peer
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.attempt_target import AttemptTarget
from foxtailbank.forward.call import Call
from foxtailbank.forward.peer_relay import PeerRelay
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import ExchangeFailed, MalformedResponse
from foxtailbank.relay.relay_client import RelayRequest, RelayResponse
from foxtailbank.relay.relay_messages import (
    RelayedAttempt,
    RelayOutcome,
    RelayResult,
)

HEAD_TIMEOUT_MS = 2_000  # if the request may be repeated; longer than a queue


class RelayedResponse(WorkerResponse):
    """A worker's response that comes through another VM.

    Parameters
    ----------
    response : RelayResponse
        Response of the other VM.
    """

    def __init__(self, *, response: RelayResponse) -> None:
        self.status = response.status
        self.headers = response.headers
        self.not_run = response.result.outcome is not RelayOutcome.ANSWERED
        self.misdirected = False
        self.framing = response.framing
        self._response = response

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was received with the last chunk."""
        return self._response.is_complete

    async def next_chunk(self, timeout_ms: float) -> bytes | None:
        """Return the next chunk; see `BodySource.next_chunk`."""
        return await self._response.next_chunk(timeout_ms)


class PeerTarget(AttemptTarget):
    """Another VM that makes one attempt.

    Parameters
    ----------
    peer : Peer
        The VM.
    relay : PeerRelay
        Connections to other VMs.
    tried : collection of str
        Ids of workers that must not get the request again.

    Attributes
    ----------
    result : RelayResult or None
        What the VM says of the attempt; None before its response.
    """

    def __init__(
        self, *, peer: Peer, relay: PeerRelay, tried: t.Collection[str]
    ) -> None:
        self._peer = peer
        self._relay = relay
        self._tried = tuple(tried)
        self.endpoint_id = ""
        self.peer_id = peer.vm_id
        self.software_version = ""
        self.service = ""
        self.process_id = ""
        self.wait_ms = float(HEAD_TIMEOUT_MS)
        self.result: RelayResult | None = None

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        call: Call,
        *,
        remaining_ms: int,
        head_timeout_ms: float,
        resume_after: str,
        origin: StreamOrigin | None,
    ) -> t.AsyncIterator[WorkerResponse]:
        """Send the request to the other VM."""
        request = RelayRequest(
            method=call.method,
            target=call.target,
            host=call.host,
            headers=call.headers,
            body=call.body,
            request_id=call.request_id,
            attempt=RelayedAttempt(
                vm_id=self._relay.vm_id,
                remaining_ms=remaining_ms,
                tried=self._tried,
                resume_after=resume_after,
                origin=origin,
                key_hash=call.identity.key_hash if call.identity else "",
            ),
        )
        with self._relay.sending(self._peer):
            async with self._relay.client.exchange(
                str(self._peer.address), request, head_timeout_ms=head_timeout_ms
            ) as response:
                self._apply(response.result)
                yield RelayedResponse(response=response)

    async def may_continue(self) -> bool:
        """Return true: the other VM has found it out."""
        return True

    async def new_origin(self, response: WorkerResponse) -> StreamOrigin:
        """Return the software that the other VM tells."""
        return self.origin_of(response)

    def origin_of(self, response: WorkerResponse) -> StreamOrigin:
        """Return the software of the worker that the other VM chose."""
        if self.result is None or self.result.origin is None:
            raise MalformedResponse(detail=f"{self.peer_id} names no worker")
        return self.result.origin

    def on_start(self) -> None:
        """Do nothing: the other VM counts the request at the worker."""

    def on_end(self) -> None:
        """Do nothing; see `on_start`."""

    def on_answer(self, response: WorkerResponse) -> None:
        """Do nothing: the other VM applies what a response says of its worker."""

    def on_not_run(self, response: WorkerResponse) -> bool:
        """Return whether the other VM had asked a worker."""
        return bool(self.endpoint_id)

    def on_error(self, reason: str) -> None:
        """Do nothing; see `on_answer`."""

    def on_failure(
        self, call: Call, failure: ExchangeFailed, progress: AttemptProgress
    ) -> None:
        """Do nothing; see `on_answer`."""

    def on_success(self, call: Call, duration_ms: int) -> None:
        """Do nothing; see `on_answer`."""

    def _apply(self, result: RelayResult) -> None:
        self.result = result
        self.endpoint_id = result.worker_id
        if result.origin is not None:
            self.software_version = result.origin.software_version
