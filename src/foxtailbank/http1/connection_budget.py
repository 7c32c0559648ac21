"""Memory and descriptors of a VM that its clients' connections may take together."""

import collections
import contextlib
import dataclasses
import enum
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import BodyTooLarge, FoxtailbankError
from foxtailbank.http1.request_refused import RETRY_AFTER_MS

CONNECTION_BYTES = 24_576  # tasks, parser and socket of a connection
SERVED_BYTES = 16_384  # of a request that is handled, without head and body
FIELD_BYTES = 400  # of a header field as objects, before and after its decoding
STALLED_ANSWER_MS = 1_000
STALLED_BODY_MS = 500
# Slower bodies yield when others wait for memory.
SOUND_BODY_BYTES_PER_S = 65_536
HEAD_START_BYTES = 16_384  # of a new connection before those that have sent little
BATCH_SHARE = 32  # one in so many unfinished connections is closed at a time


class MemoryShort(FoxtailbankError):
    """There is no memory for a request now; it has not run."""

    code = "memory_short"
    status = 503


class Phase(enum.Enum):
    """What a connection is doing."""

    RECEIVING = "receiving"
    SERVED = "served"
    ANSWERING = "answering"
    IDLE = "idle"


class Holding(enum.IntEnum):
    """What a connection holds memory for; an index into what its account holds."""

    CONNECTION = 0
    AHEAD = 1
    HEAD = 2
    BODY = 3
    REQUEST = 4
    ANSWER = 5


_OF_REQUEST = slice(Holding.HEAD, len(Holding))
_NOTHING = (0,) * (len(Holding) - Holding.HEAD)


@dataclasses.dataclass(kw_only=True, eq=False)
class Door:
    """One server of the VM.

    Attributes
    ----------
    name : str
        Name in log lines.
    reserved_count : int
        Connections that it may have whatever the others hold.
    count : int
        Connections that it has.
    """

    name: str
    reserved_count: int = 0
    count: int = 0


class ConnectionAccount:
    """What one connection holds.

    Parameters
    ----------
    budget : ConnectionBudget
        Budget of the VM.
    door : Door
        Server that accepted the connection.
    now_ms : int
        Current time in milliseconds.

    Attributes
    ----------
    close : callable
        Closes the connection.
    phase : Phase
        What the connection is doing.
    since_ms : int
        Since when.
    received_bytes : int
        Bytes of the request that is being received.
    reserved_bytes : int
        Memory for the body that is reserved elsewhere.
    is_closed : bool
        Whether the connection was closed for others.
    """

    def __init__(
        self,
        *,
        budget: "ConnectionBudget",
        door: Door,
        now_ms: int,
    ) -> None:
        self.budget = budget
        self.door = door
        self.close: t.Callable[[], None] = lambda: None
        self.phase = Phase.RECEIVING
        self.since_ms = now_ms
        self.received_bytes = 0
        self.reserved_bytes = 0
        self.held_bytes = 0
        self.is_closed = False
        self._held = [0] * len(Holding)

    def enter(self, phase: Phase) -> None:
        """Note that the connection does something else now."""
        self.phase = phase
        self.since_ms = self.budget.now_ms()
        self.received_bytes = 0

    def hold(self, holding: Holding, size_bytes: int) -> bool:
        """Set what is held for something; return whether it is allowed.

        What is not allowed is not counted either. Holding less is always allowed.
        """
        added = size_bytes - self._held[holding]
        if added > 0 and not self.budget.make_room(self, added):
            return False
        self._held[holding] = size_bytes
        self._add(added)
        return True

    def release_request(self) -> None:
        """Release all but the connection itself and what was sent ahead."""
        released = sum(self._held[_OF_REQUEST])
        self._held[_OF_REQUEST] = _NOTHING
        self._add(-released)
        self.reserved_bytes = 0

    def _add(self, added_bytes: int) -> None:
        self.held_bytes += added_bytes
        if not self.is_closed:
            self.budget.held_bytes += added_bytes

    def progress(self, now_ms: int) -> float:
        """Return bytes received per millisecond of the request's age."""
        age_ms = now_ms - self.since_ms + 1
        return (self.received_bytes + HEAD_START_BYTES) / age_ms


class ConnectionBudget:
    """Divides memory and descriptors among connections.

    When it is spent, connections are closed for others: first those with the least
    progress of an unfinished request, then answers that are not read, then idle ones.
    Requests that are handled are left alone.

    Parameters
    ----------
    max_connections : int
        Connections of all servers together.
    capacity_bytes : int
        Memory for what they hold.
    clock : Clock
        Source of time.
    on_close : callable, optional
        Called with the phase of each connection that is closed or refused for others.
    on_refuse : callable, optional
        Called with the status of each request that is refused before it is handled.

    Attributes
    ----------
    held_bytes : int
        Memory that is held.
    parse_turns : anyio.Lock
        Held by the connection that is parsing a body of many tiny parts.
    """

    def __init__(
        self,
        *,
        max_connections: int,
        capacity_bytes: int,
        clock: Clock,
        on_close: t.Callable[[str], None] = lambda reason: None,
        on_refuse: t.Callable[[int], None] = lambda status: None,
    ) -> None:
        self._max_connections = max_connections
        self._capacity_bytes = capacity_bytes
        self._clock = clock
        self._on_close = on_close
        self.on_refuse = on_refuse
        self._accounts: set[ConnectionAccount] = set()
        self._doors: list[Door] = []
        self.held_bytes = 0
        self.parse_turns = anyio.Lock()
        self._work = ConnectionAccount(
            budget=self, door=Door(name="work"), now_ms=clock.now_ms()
        )
        self._work.phase = Phase.SERVED

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._accounts)

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        return self._clock.now_ms()

    def add_door(self, door: Door) -> None:
        """Count the connections of a server."""
        self._doors.append(door)

    def open(self, door: Door) -> ConnectionAccount | None:
        """Return the account of a new connection; None if it must be closed."""
        account = ConnectionAccount(budget=self, door=door, now_ms=self.now_ms())
        if not self._has_place(door):
            self._close_worst(self._limit(door))
        is_admitted = self._has_place(door) and account.hold(
            Holding.CONNECTION, CONNECTION_BYTES
        )
        if not is_admitted:
            self._on_close("refused")
            return None
        self._accounts.add(account)
        door.count += 1
        return account

    def discard(self, account: ConnectionAccount) -> None:
        """Forget a connection that has ended."""
        if account in self._accounts:
            self._accounts.discard(account)
            account.door.count -= 1
            self.held_bytes -= account.held_bytes

    def make_room(self, account: ConnectionAccount, size_bytes: int) -> bool:
        """Close connections until memory is free; return whether it is."""
        if account.is_closed or size_bytes > self._capacity_bytes:
            return False
        while self.held_bytes + size_bytes > self._capacity_bytes:
            is_reserved = account.door.count < account.door.reserved_count
            if is_reserved and size_bytes <= CONNECTION_BYTES:
                return True
            if not self._close_one(account):
                return False
        return True

    @contextlib.contextmanager
    def memory_for(self, size_bytes: int) -> t.Iterator[None]:
        """Hold memory for what is made of a request.

        Raises
        ------
        MemoryShort
            It is not free now.
        BodyTooLarge
            There is never that much.
        """
        if size_bytes > self._capacity_bytes:
            raise BodyTooLarge(detail=f"takes {size_bytes} bytes of memory")
        if not self.make_room(self._work, size_bytes):
            raise MemoryShort(
                detail="no memory for the request", retry_after_ms=RETRY_AFTER_MS
            )
        self.held_bytes += size_bytes
        try:
            yield
        finally:
            self.held_bytes -= size_bytes

    def close_slow_bodies(self) -> None:
        """Close connections that hold memory for bodies and send them too slowly."""
        now_ms = self.now_ms()
        least = SOUND_BODY_BYTES_PER_S / MS_PER_S
        for account in tuple(self._accounts):
            is_late = now_ms - account.since_ms >= STALLED_BODY_MS
            is_receiving = account.phase is Phase.RECEIVING and account.reserved_bytes
            if is_receiving and is_late and account.progress(now_ms) < least:
                self._close(account)

    def _has_place(self, door: Door) -> bool:
        return door.count < door.reserved_count or len(self._accounts) < self._limit(
            door
        )

    def _limit(self, door: Door) -> int:
        """Return how many connections there may be before one more at a server."""
        kept = sum(
            max(0, other.reserved_count - other.count)
            for other in self._doors
            if other is not door
        )
        return self._max_connections - kept

    def _close_worst(self, limit: int) -> None:
        """Close a few of the unfinished connections at once, or another one."""
        now_ms = self.now_ms()
        unfinished = [a for a in self._accounts if a.phase is Phase.RECEIVING]
        unfinished.sort(key=lambda account: account.progress(now_ms))
        count = max(1, len(unfinished) // BATCH_SHARE)
        for account in unfinished[:count]:
            self._close(account)
        while len(self._accounts) >= limit and self._close_one(None):
            pass

    def _close_one(self, newcomer: ConnectionAccount | None) -> bool:
        """Close the connection that is the first to go; return whether one was."""
        now_ms = self.now_ms()
        by_phase = collections.defaultdict(list)
        for account in self._accounts:
            if account is not newcomer:
                by_phase[account.phase].append(account)
        if by_phase[Phase.RECEIVING]:
            slowest = min(by_phase[Phase.RECEIVING], key=lambda a: a.progress(now_ms))
            is_newcomer_slower = (
                newcomer is not None
                and newcomer.phase is Phase.RECEIVING
                and newcomer.progress(now_ms) <= slowest.progress(now_ms)
            )
            if not is_newcomer_slower:
                return self._close(slowest)
        unread = [
            account
            for account in by_phase[Phase.ANSWERING]
            if now_ms - account.since_ms >= STALLED_ANSWER_MS
        ]
        if unread:
            return self._close(max(unread, key=lambda a: a.held_bytes))
        if by_phase[Phase.IDLE]:
            return self._close(min(by_phase[Phase.IDLE], key=lambda a: a.since_ms))
        return False

    def _close(self, account: ConnectionAccount) -> bool:
        self._on_close(account.phase.value)
        self.discard(account)
        account.is_closed = True
        account.close()
        return True


def unbounded_account(clock: Clock) -> ConnectionAccount:
    """Return an account that may hold anything."""
    account = unbounded(clock).open(Door(name=""))
    assert account is not None
    return account


def unbounded(clock: Clock) -> ConnectionBudget:
    """Return a budget that is never spent."""
    return ConnectionBudget(
        max_connections=1 << 30, capacity_bytes=1 << 60, clock=clock
    )
