"""In-memory stand-ins for the platform's interfaces, with fault switches."""

import collections

import anyio

from foxtailbank.exceptions import LogUnavailable, OffsetExpired
from foxtailbank.log_service import LogBounds, LogRecord, LogService


class FakeLog(LogService):
    """Log in memory.

    Switches: `up`; `lose_answers` (the next appends take effect unconfirmed);
    `late_copies` (the next appends are kept aside and land by `land_late()`,
    unconfirmed); `refuse_appends` (the next appends have no effect); `delay_ms`
    of every answer; `retain` (records kept); `hang` (no answer at all).
    """

    def __init__(self):
        self.records_by_stream = collections.defaultdict(list)
        self.earliest_by_stream = collections.defaultdict(int)
        self.up = True
        self.hang = False
        self.lose_answers = 0
        self.refuse_appends = 0
        self.late_copies = 0
        self.late = []
        self.delay_ms = 0
        self.append_count = 0
        self.in_flight = 0
        self.max_in_flight = 0
        self._grown = anyio.Event()

    def put(self, stream, data):
        records = self.records_by_stream[stream]
        records.append(data)
        self._grown.set()
        self._grown = anyio.Event()
        return len(records) - 1

    def land_late(self):
        for stream, data in self.late:
            self.put(stream, data)
        self.late.clear()

    def expire(self, stream, earliest):
        self.earliest_by_stream[stream] = earliest

    async def append(self, *, stream, data):
        self.append_count += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await self._answer()
            if self.refuse_appends:
                self.refuse_appends -= 1
                raise LogUnavailable()
            if self.late_copies:
                self.late_copies -= 1
                self.late.append((stream, data))
                raise LogUnavailable()
            offset = self.put(stream, data)
            if self.lose_answers:
                self.lose_answers -= 1
                raise LogUnavailable()
            return offset
        finally:
            self.in_flight -= 1

    async def read(self, *, stream, offset, max_bytes, wait_ms=0):
        await self._answer()
        if offset < self.earliest_by_stream[stream]:
            raise OffsetExpired()
        if offset >= len(self.records_by_stream[stream]) and wait_ms:
            with anyio.move_on_after(wait_ms / 1000):
                await self._grown.wait()
            await self._answer()
        found = []
        size = 0
        for at, data in enumerate(self.records_by_stream[stream][offset:], offset):
            size += len(data)
            if found and size > max_bytes:
                break
            found.append(LogRecord(offset=at, data=data))
        return tuple(found)

    async def bounds(self, *, stream):
        await self._answer()
        return LogBounds(
            earliest=self.earliest_by_stream[stream],
            end=len(self.records_by_stream[stream]),
        )

    async def _answer(self):
        if self.hang:
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_ms / 1000)
        if not self.up:
            raise LogUnavailable()
