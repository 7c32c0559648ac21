"""Responses to online requests that no worker answers to the end."""

import random

from foxtailbank.clock import MS_PER_S
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward import wait_limits
from foxtailbank.forward.attempt_target import AttemptTarget
from foxtailbank.forward.call_recorder import TRUNCATED, CallRecorder
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.headers import Headers
from foxtailbank.http1.responder import Responder
from foxtailbank.relay import relay_messages
from foxtailbank.relay.relay_messages import RelayOutcome, RelayResult


class FinalResponse:
    """Sends and records the end of one request.

    Parameters
    ----------
    responder : Responder
        Sends the response to the client.
    recorder : CallRecorder
        Notified of the outcome.
    rng : random.Random
        Draws ``Retry-After`` times.
    is_relayed : bool
        Whether another VM asked for one attempt of the request.
    """

    def __init__(
        self,
        *,
        responder: Responder,
        recorder: CallRecorder,
        rng: random.Random,
        is_relayed: bool = False,
    ) -> None:
        self._responder = responder
        self._recorder = recorder
        self._rng = rng
        self._is_relayed = is_relayed

    async def refuse(self, reason: str, *, wait_ms: float, remaining_ms: float) -> None:
        """Tell the client that its request has not run, and when to retry.

        Parameters
        ----------
        reason : str
            Why it is refused.
        wait_ms : float
            Expected wait until it could run.
        remaining_ms : float
            Remaining time of the caller.
        """
        retry_after_ms = wait_limits.retry_after_ms(
            wait_ms=wait_ms, remaining_ms=remaining_ms, rng=self._rng
        )
        await self._send_refusal(reason, wait_ms, retry_after_ms)

    async def refuse_for(self, reason: str, refused_ms: int) -> None:
        """Tell the client that its request will not run for a known time.

        Parameters
        ----------
        reason : str
            Why it is refused.
        refused_ms : int
            For how long, in milliseconds.
        """
        await self._send_refusal(reason, refused_ms, refused_ms)

    async def deny(self, status: int, reason: str) -> None:
        """Tell the client that its request has not run and must not be repeated.

        Another VM that asked for the attempt is told that it was refused.
        """
        if self._is_relayed:
            await self._send_refusal(reason, 0, 0)
            return
        self._recorder.on_denied(status, reason=reason)
        await self._responder.respond(status=status)

    async def fail(self, status: int, reason: str) -> None:
        """Tell the client that its request failed and may have run.

        A response that has begun is left incomplete, so that the client notices.
        """
        if self._responder.started:
            self._recorder.on_finished(TRUNCATED, reason=reason)
            return
        self._recorder.on_finished(status, reason=reason)
        headers = self._result_headers(RelayOutcome.FAILED, reason)
        await self._responder.respond(status=status, headers=headers)

    def answer_headers(
        self,
        target: AttemptTarget,
        response: WorkerResponse,
        origin: StreamOrigin | None,
    ) -> Headers:
        """Return a response's headers, with a result for a VM that asked for it.

        Parameters
        ----------
        target : AttemptTarget
            Who answered.
        response : WorkerResponse
            The response.
        origin : StreamOrigin or None
            Software that began the stream; None if the response begins one.
        """
        if not self._is_relayed:
            return response.headers
        result = RelayResult(
            outcome=RelayOutcome.ANSWERED,
            worker_id=target.endpoint_id,
            origin=origin or target.origin_of(response),
            request_id=self._recorder.request_id,
        )
        header = (relay_messages.RESULT_HEADER, relay_messages.encode(result))
        return (*response.headers, header)

    async def _send_refusal(
        self, reason: str, wait_ms: float, retry_after_ms: int
    ) -> None:
        headers: Headers = (("Retry-After", f"{retry_after_ms / MS_PER_S:.3f}"),)
        headers += self._result_headers(RelayOutcome.REFUSED, reason, int(wait_ms))
        self._recorder.on_refused(reason=reason, wait_ms=wait_ms)
        await self._responder.respond(status=503, headers=headers)

    def _result_headers(
        self, outcome: RelayOutcome, reason: str, wait_ms: int = 0
    ) -> Headers:
        """Return the header for a VM that asked for the attempt, if one did."""
        if not self._is_relayed:
            return ()
        worker_id = self._recorder.asked_worker_id
        result = RelayResult(
            outcome=outcome,
            worker_id=worker_id,
            reason=reason,
            wait_ms=wait_ms,
            request_id=self._recorder.request_id,
        )
        return ((relay_messages.RESULT_HEADER, relay_messages.encode(result)),)
