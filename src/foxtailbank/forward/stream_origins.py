"""Origins of the streams that clients may take up again, at any VM."""

import collections
import dataclasses
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.load_report import MAX_STREAMS as MAX_REPORTED_STREAMS
from foxtailbank.fleet.stream_origin import StreamOrigin, StreamReport
from foxtailbank.fleet.version_history import VersionHistory
from foxtailbank.fleet.worker import Worker

MAX_STREAMS = 10_000  # some minutes of the busiest fleet
RECENT_MS = 3_000  # several load reports, of which some may be lost
FIND_TIMEOUT_MS = 150  # several round trips between availability zones
# How late the list of workers may tell that a worker has another process.
BEGUN_KEPT_MS = 10_000
MAX_BEGUN = 2_000
WALL_CLOCK_MARGIN_MS = 1_000  # clocks of a VM and of a worker differ by less
SYNC_TIMEOUT_MS = 60  # leaves time to ask the other VMs

ListSync: t.TypeAlias = t.Callable[[], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BegunStream:
    """A stream that this VM began to pass on.

    Attributes
    ----------
    key : int
        The stream.
    process_id : str
        Process that the list named then.
    wall_ms : int
        When its first event came, by the wall clock.
    """

    key: int
    process_id: str
    wall_ms: int


class StreamOrigins:
    """Knows which software began a stream, or finds it out.

    Each VM tells the others which streams it begins. One that has not heard of a stream
    asks them, unless a single version has been listed for longer than a stream lasts.
    What cannot be found out is not guessed.

    Parameters
    ----------
    versions : VersionHistory
        Versions that have been listed.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, versions: VersionHistory, clock: Clock) -> None:
        self._versions = versions
        self._clock = clock
        self._origin_by_key: dict[int, StreamOrigin] = {}
        self._own: collections.deque[tuple[int, StreamReport]] = collections.deque(
            maxlen=MAX_REPORTED_STREAMS
        )
        self._begun: collections.deque[BegunStream] = collections.deque(
            maxlen=MAX_BEGUN
        )
        self._found_by_key: dict[int, anyio.Event] = {}
        self._begin_listeners: list[t.Callable[[], None]] = []
        self._question_listeners: list[t.Callable[[], None]] = []
        self._sync_list: ListSync | None = None
        self._read_records: ListSync | None = None

    def set_list_sync(self, sync: ListSync) -> None:
        """Set the function that reads the list of workers to its end."""
        self._sync_list = sync

    def set_records_sync(self, sync: ListSync) -> None:
        """Set the function that reads the records of versions to their end."""
        self._read_records = sync

    def add_begin_listener(self, listener: t.Callable[[], None]) -> None:
        """Add a function to call when this VM begins to pass on a stream."""
        self._begin_listeners.append(listener)

    def add_question_listener(self, listener: t.Callable[[], None]) -> None:
        """Add a function to call when the other VMs are to be asked."""
        self._question_listeners.append(listener)

    def begin(self, key: int, origin: StreamOrigin, *, process_id: str) -> None:
        """Record the origin of a stream that this VM begins to pass on.

        Parameters
        ----------
        key : int
            The stream.
        origin : StreamOrigin
            Software that writes it.
        process_id : str
            Process that the list names for its worker; empty if another VM asks it.
        """
        if process_id:
            begun = BegunStream(
                key=key, process_id=process_id, wall_ms=self._clock.wall_ms()
            )
            self._begun.append(begun)
        self.record(key, origin)

    def record(self, key: int, origin: StreamOrigin) -> None:
        """Record the origin of a stream that this VM passes on."""
        self._put(key, origin)
        report = StreamReport(key=key, origin=origin)
        self._own.append((self._clock.now_ms(), report))
        for listener in self._begin_listeners:
            listener()

    def on_process_replaced(
        self, process_id: str, worker: Worker, *, wall_ms: int
    ) -> None:
        """Correct the origins of streams that a replaced process can't have begun.

        Parameters
        ----------
        process_id : str
            Process that the list named so far.
        worker : Worker
            The worker with its present process.
        wall_ms : int
            Current time by the wall clock.
        """
        while self._begun and wall_ms - self._begun[0].wall_ms > BEGUN_KEPT_MS:
            self._begun.popleft()
        certain_ms = worker.started_wall_ms + WALL_CLOCK_MARGIN_MS
        for stream in tuple(self._begun):
            after_start_ms = stream.wall_ms - worker.started_wall_ms
            if stream.process_id != process_id or (
                after_start_ms < -WALL_CLOCK_MARGIN_MS
            ):
                continue
            is_certain = stream.wall_ms > certain_ms
            new = StreamOrigin.of(worker)
            origin = new if is_certain else StreamOrigin.unknown(worker.service)
            if self._origin_by_key.get(stream.key) not in (None, new):
                self.record(stream.key, origin)

    def on_report(self, report: StreamReport) -> None:
        """Apply what another VM says of a stream."""
        self._put(report.key, report.origin)

    def get(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream; None if this VM does not know it."""
        return self._origin_by_key.get(key)

    def recent(self) -> tuple[StreamReport, ...]:
        """Return the newest streams of this VM, which load reports repeat."""
        since_ms = self._clock.now_ms() - RECENT_MS
        return tuple(report for begun_ms, report in self._own if begun_ms > since_ms)

    def questions(self) -> tuple[int, ...]:
        """Return the streams of which this VM needs to know the origin."""
        return tuple(self._found_by_key)

    async def find(self, key: int, services: t.Collection[str]) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it cannot be found out.

        Parameters
        ----------
        key : int
            The stream.
        services : collection of str
            Services that may have begun it.
        """
        if key not in self._origin_by_key:
            with anyio.move_on_after(FIND_TIMEOUT_MS / MS_PER_S):
                if origin := await self._sole_origin(services):
                    return origin
                await self._ask(key)
        return self.get(key)

    async def _sole_origin(self, services: t.Collection[str]) -> StreamOrigin | None:
        if self._sync_list is None or len(services) != 1:
            return None
        (service,) = services
        if not self._sole_version(service):
            return None
        # A worker that this VM has not heard of may have begun the stream.
        if not await self.sync_list() or not await self._sync_records(service):
            return None
        version = self._sole_version(service)
        if not version:
            return None
        return StreamOrigin(service=service, software_version=version)

    async def sync_list(self) -> bool:
        """Read the list of workers to its end; return whether it was done in time."""
        return self._sync_list is not None and await _is_read(self._sync_list)

    async def _sync_records(self, service: str) -> bool:
        """Read the records of versions if they count; return whether it was done."""
        now_ms = self._clock.now_ms()
        if not self._versions.relies_on_records(service, now_ms=now_ms):
            return True
        return self._read_records is None or await _is_read(self._read_records)

    def _sole_version(self, service: str) -> str:
        return self._versions.sole_version(
            service, now_ms=self._clock.now_ms(), wall_ms=self._clock.wall_ms()
        )

    async def _ask(self, key: int) -> None:
        found = self._found_by_key.setdefault(key, anyio.Event())
        try:
            for listener in self._question_listeners:
                listener()
            await found.wait()
        finally:
            self._found_by_key.pop(key, None)

    def _put(self, key: int, origin: StreamOrigin) -> None:
        self._origin_by_key.pop(key, None)
        self._origin_by_key[key] = origin
        if len(self._origin_by_key) > MAX_STREAMS:
            del self._origin_by_key[next(iter(self._origin_by_key))]
        if found := self._found_by_key.get(key):
            found.set()


async def _is_read(sync: ListSync) -> bool:
    """Return whether a log could be read to its end in time."""
    with anyio.move_on_after(SYNC_TIMEOUT_MS / MS_PER_S):
        try:
            await sync()
        except FoxtailbankError:
            return False  # the follower of the log has logged it
        return True
    return False
