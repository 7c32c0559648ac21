"""Keyed calls that must not be repeated: one claim, one dispatch, one answer."""

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


class RecordedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a call as it is kept.

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


class _Recorder(Sink):
    """Holds an answer until it is recorded."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.parts: list[bytes] = []

    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        self.started = True
        self.status = status
        self.headers = headers

    async def write(self, part: bytes) -> None:
        self.parts.append(part)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallKey:
    """Identity of a keyed call.

    Attributes
    ----------
    owner : str
        Owner of the entry.
    key : str
        The caller's idempotency key.
    digest : str
        Digest of the call's content.
    """

    owner: str
    key: str
    digest: str


class KeyedCalls:
    """Runs keyed calls at most once and gives resends the recorded answer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    service : LedgerService
        Where claims and answers are recorded.
    dispatch : callable
        Runs work once.
    """

    def __init__(
        self, *, clock: Clock, service: LedgerService, dispatch: Dispatch
    ) -> None:
        self._clock = clock
        self._service = service
        self._dispatch = dispatch

    async def run(self, key: CallKey, work: Work, sink: Sink) -> None:
        """Run a call if this is its first claim, or give its recorded answer.

        Parameters
        ----------
        key : CallKey
            Identity of the call.
        work : Work
            What to run.
        sink : Sink
            Takes the answer.

        Raises
        ------
        IdempotencyConflict
            The key was used for other content.
        OutcomeUnknown
            Another claimant may have run the call, or this one can't tell.
        LogUnavailable
            No claim was made; the call did not run.
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
            # Suspended between claim and dispatch: the caller has given up.
            self._release(key)
            raise LogUnavailable(detail="the claim came too late", ran=Ran.NO)
        await self._run_claimed(key, work, sink)

    async def _claim(self, key: CallKey) -> LedgerEvent:
        claim = CallClaimed(
            owner=key.owner,
            key=key.key,
            digest=key.digest,
            claimant=self._service.incarnation,
            at_ms=self._clock.wall_ms(),
        )

        def release_late(events: tuple[LedgerEvent, ...]) -> None:
            if any(isinstance(event, CallClaimWon) for event in events):
                self._release(key)

        try:
            events = await self._service.append(claim, on_late=release_late)
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
        raise LogUnavailable(detail="the claim was not judged", ran=Ran.NO)

    async def _run_claimed(self, key: CallKey, work: Work, sink: Sink) -> None:
        recorder = _Recorder()
        try:
            await self._dispatch(work, recorder)
        except FoxtailbankError as failure:
            if failure.ran is Ran.NO:
                self._release(key)
            raise
        answer = RecordedAnswer(
            status=recorder.status,
            headers=recorder.headers,
            body=b"".join(recorder.parts),
        )
        await self._record(key, answer)
        await _give(answer, sink)

    async def _record(self, key: CallKey, answer: RecordedAnswer) -> None:
        try:
            offset = await self._service.payloads.append(
                kind=PayloadKind.ANSWER,
                body=msgspec.json.encode(answer),
                timeout_ms=PAYLOAD_TIMEOUT_MS,
            )
            await self._service.append(
                CallCompleted(
                    owner=key.owner,
                    key=key.key,
                    claimant=self._service.incarnation,
                    status=answer.status,
                    payload_offset=offset,
                )
            )
        except LogUnavailable:
            # The caller gets its answer all the same; a resend is told `unknown`
            # unless the record still gets through.
            return

    async def _replay(self, key: CallKey, sink: Sink) -> None:
        calls_by_key = self._service.ledger.calls.calls_by_key
        call = calls_by_key.get((key.owner, key.key))
        if call is None or not call.completed:
            raise OutcomeUnknown(
                detail="the call was claimed before and has no recorded answer",
                retry_after_ms=RETRY_AFTER_MS,
            )
        try:
            payload = await self._service.payloads.read(
                offset=call.payload_offset, kind=PayloadKind.ANSWER
            )
        except LogUnavailable as failure:
            raise OutcomeUnknown(
                detail="the recorded answer can't be read now",
                retry_after_ms=RETRY_AFTER_MS,
            ) from failure
        await _give(msgspec.json.decode(payload.body, type=RecordedAnswer), sink)

    def _release(self, key: CallKey) -> None:
        self._service.writer.submit(
            CallReleased(
                owner=key.owner, key=key.key, claimant=self._service.incarnation
            ),
            urgent=True,
        )


async def _give(answer: RecordedAnswer, sink: Sink) -> None:
    await sink.start(status=answer.status, headers=answer.headers)
    if answer.body:
        await sink.write(answer.body)
