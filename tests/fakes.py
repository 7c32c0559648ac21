"""In-memory fake of the platform's log service, with injectable faults."""

import collections

import anyio

from foxtailbank.exceptions import LogUnavailable, OffsetExpired
from foxtailbank.log_service import LogBounds, LogRecord, LogService


class FakeLog(LogService):
    """Log in memory.

    Attributes that inject faults:

    - `up`: if false, every call fails;
    - `hang`: no call returns;
    - `delay_ms`: delay of every call;
    - `lose_answers`: number of next appends that take effect and then fail;
    - `refuse_appends`: number of next appends that fail without effect;
    - `late_copies`: number of next appends that fail and are stored in `late`;
      `land_late()` appends them later.

    `expire()` drops the records of a stream below an offset.
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
            await self._apply_faults()
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
        await self._apply_faults()
        if offset < self.earliest_by_stream[stream]:
            raise OffsetExpired()
        if offset >= len(self.records_by_stream[stream]) and wait_ms:
            with anyio.move_on_after(wait_ms / 1000):
                await self._grown.wait()
            await self._apply_faults()
        page = []
        size = 0
        for position, data in enumerate(
            self.records_by_stream[stream][offset:], offset
        ):
            size += len(data)
            if page and size > max_bytes:
                break
            page.append(LogRecord(offset=position, data=data))
        return tuple(page)

    async def bounds(self, *, stream):
        await self._apply_faults()
        return LogBounds(
            earliest=self.earliest_by_stream[stream],
            end=len(self.records_by_stream[stream]),
        )

    async def _apply_faults(self):
        if self.hang:
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_ms / 1000)
        if not self.up:
            raise LogUnavailable()
