"""Log service of the platform stand-in."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.log_service import LogBounds
from foxtailbank_bench.connections import abort_connection
from foxtailbank_bench.exchange import Exchange
from foxtailbank_bench.log_stream import LogStream
from foxtailbank_bench.platform_faults import PlatformFaults
from foxtailbank_bench.platform_stats import StreamStats
from foxtailbank_bench.rate_limiter import RateLimiter
from foxtailbank_bench.stand_in import UNAVAILABLE

CREATED = 201
GONE = 410
DEFAULT_READ_BYTES = 1 << 20


class PlatformLog:
    """Streams by name, subject to injected faults.

    Parameters
    ----------
    retention_records : int
        Maximum number of records kept per stream; 0 keeps all.
    faults : PlatformFaults
        Faults in force; the owner changes this object in place.
    """

    def __init__(self, *, retention_records: int, faults: PlatformFaults) -> None:
        self._retention_records = retention_records
        self._faults = faults
        self._streams_by_name: dict[str, LogStream] = {}
        self._pacer = RateLimiter(units_per_s=0)

    async def append(self, name: str, exchange: Exchange) -> None:
        """Append the request body as a record."""
        await self._pacer.acquire(1)
        if not await self._is_available(exchange):
            return
        offset = self._stream(name).append(exchange.body)
        if self._faults.lose_answers:
            self._faults.lose_answers -= 1
            await abort_connection(exchange.send)
            return
        await exchange.send_json({"offset": offset}, status=CREATED)

    async def read(self, name: str, exchange: Exchange) -> None:
        """Respond with records from the requested offset on."""
        offset = exchange.query_int("offset", 0)
        max_bytes = exchange.query_int("max_bytes", DEFAULT_READ_BYTES)
        timeout_s = exchange.query_int("wait_ms", 0) / MS_PER_S
        if not await self._is_available(exchange):
            return
        stream = self._stream(name)
        await stream.wait_for_record(offset=offset, timeout_s=timeout_s)
        if self._faults.log == "down":
            await send_unavailable(exchange)
        elif offset < stream.earliest:
            await exchange.send_json({"earliest": stream.earliest}, status=GONE)
        else:
            frames = stream.frames(offset=offset, max_bytes=max_bytes)
            await exchange.send_bytes(frames)

    async def bounds(self, name: str, exchange: Exchange) -> None:
        """Respond with the offsets of a stream's start and end."""
        if not await self._is_available(exchange):
            return
        stream = self._stream(name)
        bounds = LogBounds(earliest=stream.earliest, end=stream.end)
        await exchange.send_json(bounds)

    def on_faults_changed(self, change: PlatformFaults) -> None:
        """Apply a change of the faults and wake waiting reads."""
        for name, records in (change.retention_records or {}).items():
            self._stream(name).set_retention(records=records)
        if change.appends_per_s is not None:
            self._pacer.units_per_s = change.appends_per_s
        for stream in self._streams_by_name.values():
            stream.wake_readers()

    def stats(self) -> dict[str, StreamStats]:
        """Return usage counters by stream."""
        return {
            name: StreamStats(
                appends=stream.end, bytes=stream.appended_bytes, reads=stream.reads
            )
            for name, stream in self._streams_by_name.items()
        }

    async def _is_available(self, exchange: Exchange) -> bool:
        """Delay the request; if the log is down, respond with 503 instead."""
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / MS_PER_S)
        if self._faults.log == "down":
            await send_unavailable(exchange)
            return False
        return True

    def _stream(self, name: str) -> LogStream:
        stream = self._streams_by_name.get(name)
        if stream is None:
            stream = LogStream(retention_records=self._retention_records)
            self._streams_by_name[name] = stream
        return stream


async def send_unavailable(exchange: Exchange) -> None:
    """Respond with 503, as a part of the platform that is down does."""
    await exchange.send_json({"error": "unavailable"}, status=UNAVAILABLE)
