"""Sends a request to another VM, which carries out one attempt."""

import contextlib
import dataclasses
import typing as t

import anyio

from foxtailbank.clock import Clock
from foxtailbank.exceptions import Ran
from foxtailbank.headers import Headers, strip_hop_by_hop
from foxtailbank.http1.body_source import BodySource
from foxtailbank.http1.channel_pool import ChannelPool
from foxtailbank.http1.client_channel import ClientChannel, ResponseHead
from foxtailbank.http1.failures import ExchangeFailed, MalformedResponse
from foxtailbank.relay import relay_messages
from foxtailbank.relay.relay_messages import (
    ATTEMPT_HEADER,
    RESULT_HEADER,
    RelayedAttempt,
    RelayMessageInvalid,
    RelayOutcome,
    RelayResult,
)

CONNECT_TIMEOUT_MS = 300  # as for workers
_OMITTED_HEADERS = frozenset(("content-length", "expect", ATTEMPT_HEADER))


class RelayFailed(ExchangeFailed):
    """The other VM sent the request to a worker and got no answer."""

    code = "relay_failed"

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """A request to carry out.

    Attributes
    ----------
    method, target, host : str
        Method, target and host that the client requested.
    headers : tuple of (str, str)
        The client's headers.
    body : bytes
        Request body.
    attempt : RelayedAttempt
        What the other VM needs to know besides.
    request_id : str
        Id of the request.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    attempt: RelayedAttempt
    request_id: str = ""


class RelayResponse(BodySource):
    """Response of the other VM, whose head has arrived.

    Parameters
    ----------
    head : ResponseHead
        The head.
    channel : ClientChannel
        Source of the body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers for the client.
    result : RelayResult
        What the response is.
    """

    def __init__(self, *, head: ResponseHead, channel: ClientChannel) -> None:
        self.status = head.status
        self.headers = strip_hop_by_hop(
            head.headers, exclude=frozenset(("content-length", RESULT_HEADER))
        )
        self.result = _decode_result(head)
        self.framing = head.framing
        self._channel = channel

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was received with the last chunk."""
        return self._channel.is_complete

    async def next_chunk(self, timeout_ms: float) -> bytes | None:
        """Return the next chunk; see `BodySource.next_chunk`."""
        return await self._channel.next_chunk(timeout_ms)


class RelayClient:
    """Sends requests to other VMs over pooled connections.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._pool = ChannelPool(clock=clock, connect_ms=CONNECT_TIMEOUT_MS)

    @contextlib.asynccontextmanager
    async def exchange(
        self, address: str, request: RelayRequest, *, head_timeout_ms: float
    ) -> t.AsyncIterator[RelayResponse]:
        """Send a request; closing the context early cancels it.

        Parameters
        ----------
        address : str
            IP address and port of the other VM.
        request : RelayRequest
            The request.
        head_timeout_ms : float
            Timeout for the response head.

        Raises
        ------
        NotConnected
            Nothing was sent.
        ExchangeFailed
            The request may have run.
        """
        channel = await self._pool.acquire(address)
        try:
            await channel.send(
                method=request.method,
                target=request.target,
                headers=_request_headers(request),
                body=request.body,
            )
            head = await channel.receive_head(head_timeout_ms)
            response = RelayResponse(head=head, channel=channel)
            _check_request_id(response.result, request)
            if response.result.outcome is RelayOutcome.FAILED:
                raise RelayFailed(detail=response.result.reason)
            yield response
        finally:
            with anyio.CancelScope(shield=True):
                await self._pool.release(address, channel)


def _check_request_id(result: RelayResult, request: RelayRequest) -> None:
    if result.request_id not in ("", request.request_id):
        raise MalformedResponse(detail=f"answer to request {result.request_id}")


def _request_headers(request: RelayRequest) -> Headers:
    headers = strip_hop_by_hop(request.headers, exclude=_OMITTED_HEADERS)
    if all(name.lower() != "host" for name, _ in headers):
        headers = (("Host", request.host), *headers)
    return (*headers, (ATTEMPT_HEADER, relay_messages.encode(request.attempt)))


def _decode_result(head: ResponseHead) -> RelayResult:
    try:
        return relay_messages.decode(head.get(RESULT_HEADER), RelayResult)
    except RelayMessageInvalid as failure:
        detail = f"status {head.status}: {failure.detail}"
        raise MalformedResponse(detail=detail) from failure
