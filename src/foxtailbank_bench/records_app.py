"""HTTP interface of the records stand-in."""

import typing as t
import uuid

import anyio

from foxtailbank.clock import MS_PER_S, Clock, SystemClock
from foxtailbank_bench.connections import Connections, abort_connection
from foxtailbank_bench.exchange import Exchange
from foxtailbank_bench.faults import Faults
from foxtailbank_bench.journal import Journal, JournalEntry, body_digest
from foxtailbank_bench.stand_in import (
    NOT_ADMITTED,
    NOT_FOUND,
    UNAVAILABLE,
    StandIn,
)

CREATED = 201
OK = 200
CONTRACT_STATES = ("active", "expired", "in renewal")


class RecordsFaults(Faults):
    """Change to the service's faults; omitted fields keep their value.

    Attributes
    ----------
    delay_ms : int
        Delay of each response after the request took effect, in milliseconds.
    drop_after_effect : int
        Number of next requests that take effect but get no response.
    stall_open : bool
        True stalls all connections used so far: nothing more is sent on them.
    drain : bool
        Whether the service is shutting down and admits no new requests.
    """

    delay_ms: int | None = None
    drop_after_effect: int | None = None
    stall_open: bool | None = None
    drain: bool | None = None


class RecordsApp(StandIn):
    """ASGI application of the records service.

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
        """Stop admitting requests."""
        self._faults.drain = True

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request."""
        match exchange.method, exchange.path:
            case "GET", "/healthz":
                status = UNAVAILABLE if self._faults.drain else OK
                await exchange.send_json({"zone": self._zone}, status=status)
            case "POST", "/control/faults":
                self._apply_faults(exchange.decode_json(RecordsFaults))
                await exchange.send_json(self._faults)
            case "GET", "/control/journal":
                since = exchange.query_int("since", 0)
                await exchange.send_bytes(self._journal.lines(since=since))
            case _:
                await self._handle_request(exchange)

    async def _handle_request(self, exchange: Exchange) -> None:
        if self._connections.is_stalled(exchange.send):
            await exchange.wait_for_disconnect()
            return
        self._connections.mark_used(exchange.send)
        if self._faults.drain:
            await self.send_error(exchange, UNAVAILABLE, "draining", NOT_ADMITTED)
            return
        entry = self._new_entry(exchange)
        self._journal.add(entry)
        try:
            status, content = _apply_request(exchange)
            sent = await self._send_response(exchange, status, content)
            self._journal.finish(entry, "done" if sent else "broken")
        finally:
            self._journal.finish(entry, "broken")

    async def _send_response(
        self, exchange: Exchange, status: int, content: t.Any
    ) -> bool:
        if self._faults.drop_after_effect:
            self._faults.drop_after_effect -= 1
            await abort_connection(exchange.send)
            return False
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / MS_PER_S)
        if self._connections.is_stalled(exchange.send):
            await exchange.wait_for_disconnect()
            return False
        await exchange.send_json(content, status=status)
        return True

    def _new_entry(self, exchange: Exchange) -> JournalEntry:
        return JournalEntry(
            request_id=exchange.header(b"x-request-id"),
            path=exchange.path,
            digest=body_digest(exchange.body),
            at_ms=self._clock.wall_ms(),
        )

    def _apply_faults(self, change: RecordsFaults) -> None:
        self._faults.apply(change)
        if change.stall_open:
            self._connections.stall_all()


def _apply_request(exchange: Exchange) -> tuple[int, t.Any]:
    match (exchange.method, *exchange.path_segments):
        case "GET", "contracts", contract_id:
            state = CONTRACT_STATES[len(contract_id) % len(CONTRACT_STATES)]
            return OK, {"contract_id": contract_id, "status": state}
        case "POST", "bookings":
            booking = exchange.decode_json(dict[str, t.Any])
            return CREATED, {"booking_id": uuid.uuid4().hex, "request": booking}
        case (_, "echo", *_):
            return OK, _echo(exchange)
        case _:
            return NOT_FOUND, {"error": "not found"}


def _echo(exchange: Exchange) -> dict[str, t.Any]:
    scope = exchange.scope
    return {
        "method": exchange.method,
        "path": scope["raw_path"].decode("latin-1"),
        "query": scope["query_string"].decode("latin-1"),
        "headers": [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        ],
        "body": exchange.body.decode("utf-8", "replace"),
    }
