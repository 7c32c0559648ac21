"""Stand-in for a plain service: contract lookups and billed bookings."""

import argparse
import contextlib
import functools
import pathlib
import typing as t
import urllib.parse
import uuid

import anyio
import msgspec

from foxtailbank.clock import MS_PER_S, Clock, SystemClock
from foxtailbank_bench import asgi
from foxtailbank_bench.connections import Connections, abort
from foxtailbank_bench.journal import Journal, JournalEntry, digest_of
from foxtailbank_bench.serving import run_program

NOT_ADMITTED = ((b"x-not-admitted", b"1"),)
CONTRACT_STATES = ("active", "expired", "in renewal")
UNAVAILABLE = 503


class RecordsFaults(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Change of the service's faults; what is left out stays as it is.

    Attributes
    ----------
    delay_ms : int
        Delay of each answer after its effect, in milliseconds.
    drop_after_effect : int
        How many of the next requests take effect without an answer.
    stall_open : bool
        True lets all connections used so far send nothing any more.
    drain : bool
        Whether the service is leaving: it admits nothing new.
    """

    delay_ms: int | None = None
    drop_after_effect: int | None = None
    stall_open: bool | None = None
    drain: bool | None = None


class RecordsApp:
    """ASGI application of a records service.

    Parameters
    ----------
    journal : Journal, optional
        Record of the requests.
    zone : str
        Availability zone.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self,
        *,
        journal: Journal | None = None,
        zone: str = "",
        clock: Clock | None = None,
    ) -> None:
        self._journal = journal or Journal()
        self._zone = zone
        self._clock = clock or SystemClock()
        self._connections = Connections()
        self._faults = RecordsFaults(delay_ms=0, drop_after_effect=0, drain=False)

    def drain(self) -> None:
        """Admit nothing new."""
        self._faults.drain = True

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            return await asgi.run_lifespan(receive, send)
        with contextlib.suppress(asgi.Disconnected):
            body = await asgi.read_body(receive)
            try:
                await self._route(scope, body, receive, send)
            except asgi.Malformed as error:
                content = {"error": str(error)}
                await asgi.send_json(send, status=400, content=content)

    async def _route(
        self, scope: asgi.Scope, body: bytes, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        parts = [urllib.parse.unquote(p) for p in scope["path"].split("/")[1:]]
        match (scope["method"], *parts):
            case "GET", "healthz":
                status = UNAVAILABLE if self._faults.drain else 200
                await asgi.send_json(send, status=status, content={"zone": self._zone})
            case "POST", "control", "faults":
                self._change_faults(asgi.decode(body, RecordsFaults))
                await asgi.send_json(send, content=self._faults)
            case "GET", "control", "journal":
                await asgi.send_answer(send, status=200, body=self._journal.lines())
            case _:
                await self._serve(scope, parts, body, receive, send)

    async def _serve(
        self,
        scope: asgi.Scope,
        parts: list[str],
        body: bytes,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if self._connections.is_stalled(send):
            await _wait_for_disconnect(receive)
            return
        self._connections.note(send)
        if self._faults.drain:
            content = {"error": "draining"}
            await asgi.send_json(
                send, status=UNAVAILABLE, content=content, headers=NOT_ADMITTED
            )
            return
        entry = self._entry(scope, body)
        self._journal.add(entry)
        try:
            status, content = _answer(scope, parts, body)
            answered = await self._send(send, receive, status, content)
            self._journal.end(entry, "done" if answered else "broken")
        finally:
            self._journal.end(entry, "broken")

    async def _send(
        self, send: asgi.Send, receive: asgi.Receive, status: int, content: t.Any
    ) -> bool:
        if self._faults.drop_after_effect:
            self._faults.drop_after_effect -= 1
            await abort(send)
            return False
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / MS_PER_S)
        if self._connections.is_stalled(send):
            await _wait_for_disconnect(receive)
            return False
        await asgi.send_json(send, status=status, content=content)
        return True

    def _entry(self, scope: asgi.Scope, body: bytes) -> JournalEntry:
        return JournalEntry(
            request_id=asgi.header(scope, b"x-request-id"),
            path=scope["path"],
            digest=digest_of(body),
            at_ms=self._clock.wall_ms(),
        )

    def _change_faults(self, change: RecordsFaults) -> None:
        if change.stall_open:
            self._connections.stall_all()
        for name in RecordsFaults.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self._faults, name, value)


def _answer(scope: asgi.Scope, parts: list[str], body: bytes) -> tuple[int, t.Any]:
    match (scope["method"], *parts):
        case "GET", "contracts", contract_id:
            return 200, _contract(contract_id)
        case "POST", "bookings":
            booking = asgi.decode(body, dict[str, t.Any])
            return 201, {"booking_id": uuid.uuid4().hex, "request": booking}
        case (_, "echo", *_):
            return 200, _echo(scope, body)
        case _:
            return 404, {"error": "not found"}


def _contract(contract_id: str) -> dict[str, t.Any]:
    state = CONTRACT_STATES[len(contract_id) % len(CONTRACT_STATES)]
    return {"contract_id": contract_id, "status": state}


def _echo(scope: asgi.Scope, body: bytes) -> dict[str, t.Any]:
    return {
        "method": scope["method"],
        "path": scope["raw_path"].decode("latin-1"),
        "query": scope["query_string"].decode("latin-1"),
        "headers": [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ],
        "body": body.decode("utf-8", "replace"),
    }


async def _wait_for_disconnect(receive: asgi.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def main() -> None:
    """Run the program."""
    options = _parser().parse_args()
    app = RecordsApp(journal=Journal(file=options.journal), zone=options.zone)
    anyio.run(
        functools.partial(
            run_program,
            app,
            host=options.host,
            port=options.port,
            on_stop=app.drain,
        )
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--zone", default="", help="availability zone")
    parser.add_argument("--journal", type=pathlib.Path, help="file for the journal")
    return parser


if __name__ == "__main__":
    main()
