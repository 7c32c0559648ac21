"""At-most-once execution of calls that carry an idempotency key.

A call is claimed on the ledger, dispatched once, and its response is recorded for
repeated requests with the same key.
"""

import dataclasses
import typing as t

import msgspec

from foxtailbank.clock import Clock
from foxtailbank.exceptions import (
    FoxtailbankError,
    IdempotencyConflict,
    LogUnavailable,
    OutcomeUnknown,
    Ran,
)
from foxtailbank.ledger_events import (
    CallClaimLost,
    CallClaimWon,
    CallConflict,
    LedgerEvent,
)
from foxtailbank.ledger_service import LedgerService
from foxtailbank.payload import PayloadKind
from foxtailbank.records import CallClaimed, CallCompleted, CallReleased
from foxtailbank.sink import Sink
from foxtailbank.work import Work

RETRY_AFTER_MS = 1_000
PAYLOAD_TIMEOUT_MS = 5_000

Dispatch: t.TypeAlias = t.Callable[[Work, Sink], t.Awaitable[None]]


class RecordedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a call in the form in which it is stored.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers.
    body : bytes
        Content.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _BufferingSink(Sink):
    """Buffers a response until it is recorded."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.chunk_count: list[bytes] = []

    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        self.started = True
        self.status = status
        self.headers = headers

    async def write(self, chunk: bytes) -> None:
        self.chunk_count.append(chunk)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallKey:
    """Identity of a keyed call.

    Attributes
    ----------
    owner : str
        Customer that owns the entry.
    key : str
        The caller's idempotency key.
    digest : str
        Digest of the call's content.
    """

    owner: str
    key: str
    digest: str


class KeyedCalls:
    """Runs calls with an idempotency key at most once.

    Repeated requests get the recorded response.

    Parameters
    ----------
    clock : Clock
        Source of time.
    service : LedgerService
        Records claims and responses.
    dispatch : callable
        Sends work to an endpoint.
    """

    def __init__(
        self, *, clock: Clock, service: LedgerService, dispatch: Dispatch
    ) -> None:
        self._clock = clock
        self._service = service
        self._dispatch = dispatch

    async def run(self, key: CallKey, work: Work, sink: Sink) -> None:
        """Run a call if it has not been claimed yet, else send its recorded response.

        Parameters
        ----------
        key : CallKey
            Identity of the call.
        work : Work
            Work to run.
        sink : Sink
            Receives the response.

        Raises
        ------
        IdempotencyConflict
            The key was used before for a call with different content.
        OutcomeUnknown
            The call was claimed before and its response is missing or unreadable, or
            this dispatch failed and may have run the call.
        LogUnavailable
            The claim was not recorded in time; the call did not run.
        """
        event = await self._claim(key)
        if isinstance(event, CallConflict):
            raise IdempotencyConflict(
                detail="the idempotency key was used for another call"
            )
        if isinstance(event, CallClaimLost):
            await self._replay(key, sink)
            return
        if work.deadline_at_ms <= self._clock.now_ms():
            # The VM may have been suspended while the claim was recorded. The caller
            # no longer waits, so the call is released unrun.
            self._release(key)
            raise LogUnavailable(
                detail="the deadline passed while the claim was recorded", ran=Ran.NO
            )
        await self._run_claimed(key, work, sink)

    async def _claim(self, key: CallKey) -> LedgerEvent:
        claim = CallClaimed(
            owner=key.owner,
            key=key.key,
            digest=key.digest,
            claimant=self._service.incarnation,
            at_ms=self._clock.wall_ms(),
        )

        def release_if_won(events: tuple[LedgerEvent, ...]) -> None:
            if any(isinstance(event, CallClaimWon) for event in events):
                self._release(key)

        try:
            events = await self._service.append(claim, on_late=release_if_won)
        except LogUnavailable as failure:
            raise LogUnavailable(
                detail="no claim could be recorded; the call did not run",
                retry_after_ms=RETRY_AFTER_MS,
                ran=Ran.NO,
            ) from failure
        verdicts = (CallClaimWon, CallClaimLost, CallConflict)
        for event in events:
            if isinstance(event, verdicts):
                return event
        raise LogUnavailable(
            detail="the ledger returned no verdict on the claim", ran=Ran.NO
        )

    async def _run_claimed(self, key: CallKey, work: Work, sink: Sink) -> None:
        buffered = _BufferingSink()
        try:
            await self._dispatch(work, buffered)
        except FoxtailbankError as failure:
            if failure.ran is Ran.NO:
                self._release(key)
            raise
        response = RecordedResponse(
            status=buffered.status,
            headers=buffered.headers,
            body=b"".join(buffered.chunk_count),
        )
        await self._record(key, response)
        await _send(response, sink)

    async def _record(self, key: CallKey, response: RecordedResponse) -> None:
        try:
            offset = await self._service.payloads.append(
                kind=PayloadKind.ANSWER,
                body=msgspec.json.encode(response),
                timeout_ms=PAYLOAD_TIMEOUT_MS,
            )
            await self._service.append(
                CallCompleted(
                    owner=key.owner,
                    key=key.key,
                    claimant=self._service.incarnation,
                    status=response.status,
                    payload_offset=offset,
                )
            )
        except LogUnavailable:
            # The caller still gets its response. A repeated request fails with
            # `OutcomeUnknown` unless the record reaches the log after all.
            return

    async def _replay(self, key: CallKey, sink: Sink) -> None:
        calls_by_key = self._service.ledger.calls.calls_by_key
        call = calls_by_key.get((key.owner, key.key))
        if call is None or not call.completed:
            raise OutcomeUnknown(
                detail="the call was claimed before and has no recorded response",
                retry_after_ms=RETRY_AFTER_MS,
            )
        try:
            payload = await self._service.payloads.read(
                offset=call.payload_offset, kind=PayloadKind.ANSWER
            )
        except LogUnavailable as failure:
            raise OutcomeUnknown(
                detail="the recorded response can't be read at present",
                retry_after_ms=RETRY_AFTER_MS,
            ) from failure
        await _send(msgspec.json.decode(payload.body, type=RecordedResponse), sink)

    def _release(self, key: CallKey) -> None:
        self._service.writer.submit(
            CallReleased(
                owner=key.owner, key=key.key, claimant=self._service.incarnation
            ),
            urgent=True,
        )


async def _send(response: RecordedResponse, sink: Sink) -> None:
    await sink.start(status=response.status, headers=response.headers)
    if response.body:
        await sink.write(response.body)
