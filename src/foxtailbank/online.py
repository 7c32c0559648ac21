"""HTTP handler for online calls: completions, chat completions and services."""

import contextlib
import secrets
import typing as t

import anyio

from foxtailbank.admission import Admission, Admitted, Refusal
from foxtailbank.asgi import Receive, Scope, Send, get_header, read_body
from foxtailbank.caller import authenticate, entry_by_name, entry_for_model
from foxtailbank.catalogue import Catalogue
from foxtailbank.clock import Clock
from foxtailbank.completion import parse_completion
from foxtailbank.dispatcher import Dispatcher
from foxtailbank.entry import Entry, EntryKind, WorkClass
from foxtailbank.exceptions import (
    BodyTooLarge,
    CallerDisconnected,
    FoxtailbankError,
    InvalidRequest,
    NotFound,
)
from foxtailbank.headers import Headers, strip_hop_by_hop
from foxtailbank.http_sink import HttpSink
from foxtailbank.keyed_calls import CallKey, KeyedCalls
from foxtailbank.outcome_recorder import OutcomeRecorder
from foxtailbank.overload_guard import OverloadGuard
from foxtailbank.settings import Settings
from foxtailbank.work import Work, fingerprint_of

SERVICES_PREFIX = "/v1/services/"
ENGINE_HEADERS = frozenset(("content-type", "accept", "traceparent"))
NOT_FORWARDED_HEADERS = frozenset(
    ("host", "authorization", "content-length", "x-request-id")
)
MAX_ID_CHARS = 128
MAX_KEY_CHARS = 256


class OnlineHandler:
    """ASGI application for online calls, which return their response directly.

    Parameters
    ----------
    clock : Clock
        Source of time.
    settings : Settings
        Limits on request bodies.
    catalogue : Catalogue
        Entries and the callers that may use them.
    admission : Admission
        Limits of owners and entries.
    dispatcher : Dispatcher
        Runs admitted calls.
    keyed_calls : KeyedCalls
        Runs calls with an idempotency key at most once.
    overload : OverloadGuard
        Refuses calls that can't be served in time.
    outcomes : OutcomeRecorder
        Records the outcome of each call.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        settings: Settings,
        catalogue: Catalogue,
        admission: Admission,
        dispatcher: Dispatcher,
        keyed_calls: KeyedCalls,
        overload: OverloadGuard,
        outcomes: OutcomeRecorder,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._catalogue = catalogue
        self._admission = admission
        self._dispatcher = dispatcher
        self._keyed_calls = keyed_calls
        self._overload = overload
        self._outcomes = outcomes
        self.in_flight = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one call."""
        started_ms = self._clock.now_ms()
        request_id = request_id_of(scope)
        sink = HttpSink(send=send, request_id=request_id, clock=self._clock)
        work: Work | None = None
        self.in_flight += 1
        try:
            body = await read_body(receive, max_bytes=self._settings.limits.body_bytes)
            work = self._build_work(scope, body, request_id, started_ms)
            expected_wait_ms = self._overload.check(work)
            with self._admitted(work):
                key = get_header(scope, b"idempotency-key")
                await self._run(work, sink, receive, key)
            self._outcomes.on_finished(work, sink, started_ms=started_ms)
            self._overload.on_finished(
                work,
                expected_wait_ms=expected_wait_ms,
                first_ms=sink.first_chunk_ms - started_ms,
                total_ms=self._clock.now_ms() - started_ms,
            )
        except FoxtailbankError as failure:
            if not isinstance(failure, CallerDisconnected):
                await sink.fail(failure)
            self._outcomes.on_failed(
                work,
                failure,
                request_id=request_id,
                started_ms=started_ms,
                response_started=sink.first_chunk_ms > 0,
            )
        finally:
            self.in_flight -= 1

    async def _run(
        self, work: Work, sink: HttpSink, receive: Receive, key: str
    ) -> None:
        async def cancel_on_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        outcome: FoxtailbankError | None = CallerDisconnected()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect)
            try:
                await self._dispatch(work, sink, key)
                outcome = None
                await sink.finish()
            except FoxtailbankError as failure:
                outcome = failure
            tasks.cancel_scope.cancel()
        if outcome is not None:
            raise outcome

    async def _dispatch(self, work: Work, sink: HttpSink, key: str) -> None:
        if work.idempotent or not key:
            await self._dispatcher.run(work, sink)
            return
        if len(key) > MAX_KEY_CHARS:
            raise InvalidRequest(detail="`Idempotency-Key` is too long")
        call = CallKey(owner=work.entry.owner, key=key, digest=work.fingerprint.digest)
        # Runs to its end even if the caller disconnects, so that the response is
        # recorded and can be returned if the caller sends the call again.
        with anyio.CancelScope(shield=True):
            await self._keyed_calls.run(call, work, sink)

    def _build_work(
        self, scope: Scope, body: bytes, request_id: str, now_ms: int
    ) -> Work:
        caller = authenticate(scope, self._catalogue)
        path = scope["path"]
        if path.startswith(SERVICES_PREFIX):
            name, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
            entry = entry_by_name(caller, self._catalogue, name, WorkClass.ONLINE)
            return self._build_service_work(
                scope, body, request_id, now_ms, entry, rest
            )
        call = parse_completion(path, body)
        entry = entry_for_model(caller, self._catalogue, call.model)
        if call.max_tokens > entry.limits.max_tokens:
            raise InvalidRequest(
                detail=f"`max_tokens` exceeds {entry.limits.max_tokens}"
            )
        return Work(
            request_id=request_id,
            entry=_check_body_size(entry, body),
            method="POST",
            path=path,
            headers=_forwarded_headers(scope, only=ENGINE_HEADERS),
            body=body,
            streamed=call.streamed,
            batch=False,
            idempotent=entry.idempotent,
            fingerprint=fingerprint_of(entry.owner, body),
            prefix_digest=call.prefix_digest,
            max_tokens=call.max_tokens,
            deadline_at_ms=now_ms + deadline_ms(scope, entry),
        )

    def _build_service_work(
        self,
        scope: Scope,
        body: bytes,
        request_id: str,
        now_ms: int,
        entry: Entry,
        rest: str,
    ) -> Work:
        if entry.kind is not EntryKind.SERVICE:
            raise NotFound(detail=f"`{entry.name}` is not a service")
        raw = scope["raw_path"].decode("latin-1")
        rest = raw[len(SERVICES_PREFIX) :].partition("/")[2] or rest
        query = scope["query_string"].decode("latin-1")
        path = f"/{rest}?{query}" if query else f"/{rest}"
        content = f"{scope['method']} {path}\n".encode() + body
        return Work(
            request_id=request_id,
            entry=_check_body_size(entry, body),
            method=scope["method"],
            path=path,
            headers=_forwarded_headers(scope),
            body=body,
            streamed=False,
            batch=False,
            idempotent=entry.idempotent,
            fingerprint=fingerprint_of(entry.owner, content),
            prefix_digest=0,
            max_tokens=0,
            deadline_at_ms=now_ms + deadline_ms(scope, entry),
        )

    @contextlib.contextmanager
    def _admitted(self, work: Work) -> t.Iterator[Admitted]:
        result = self._admission.admit(
            keys=(f"entry:{work.entry.name}",),
            tokens=work.max_tokens,
            now_ms=self._clock.now_ms(),
        )
        if isinstance(result, Refusal):
            raise result.error()
        try:
            yield result
        finally:
            self._admission.release(
                result, used_tokens=work.max_tokens, now_ms=self._clock.now_ms()
            )


def request_id_of(scope: Scope) -> str:
    """Return the caller's request id, or a new one if it is missing or invalid."""
    value = get_header(scope, b"x-request-id")
    if value and len(value) <= MAX_ID_CHARS and value.isascii() and value.isprintable():
        return value
    return secrets.token_hex(8)


def deadline_ms(scope: Scope, entry: Entry) -> int:
    """Return the time limit of a call in milliseconds.

    Raises
    ------
    InvalidRequest
        The ``x-deadline-ms`` header is not a positive number.
    """
    value = get_header(scope, b"x-deadline-ms")
    if not value:
        return entry.limits.deadline_ms
    if not value.isdecimal() or not int(value):
        raise InvalidRequest(detail="`x-deadline-ms` must be a positive number")
    return min(int(value), entry.limits.deadline_ms)


def _check_body_size(entry: Entry, body: bytes) -> Entry:
    if len(body) > entry.limits.body_bytes:
        raise BodyTooLarge(
            detail=f"body of {len(body)} bytes exceeds {entry.limits.body_bytes}"
        )
    return entry


def _forwarded_headers(scope: Scope, *, only: frozenset[str] | None = None) -> Headers:
    decoded = (
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    forwarded = strip_hop_by_hop(decoded, exclude=NOT_FORWARDED_HEADERS)
    if only is None:
        return forwarded
    return tuple((name, value) for name, value in forwarded if name in only)
