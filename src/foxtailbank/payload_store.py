"""Appends to and reads from the payload stream."""

import random

import anyio

from foxtailbank.backoff import Backoff
from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import LogUnavailable, OffsetExpired
from foxtailbank.item_set import ItemRange
from foxtailbank.log_service import LogService
from foxtailbank.payload import Payload, PayloadKind, decode_payload, encode_payload

BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 5000


class PayloadStore:
    """Access to payload records by offset.

    Parameters
    ----------
    log : LogService
        Log that holds the stream.
    stream : str
        Name of the payload stream.
    rng : random.Random
        Source of jitter for the retry delays.
    """

    def __init__(
        self,
        *,
        log: LogService,
        stream: str,
        rng: random.Random,
        backoff_first_ms: int = BACKOFF_FIRST_MS,
        backoff_max_ms: int = BACKOFF_MAX_MS,
    ) -> None:
        self.stream = stream
        self._log = log
        self._rng = rng
        self._backoff_first_ms = backoff_first_ms
        self._backoff_max_ms = backoff_max_ms

    async def append(
        self,
        *,
        kind: PayloadKind,
        body: bytes,
        timeout_ms: int,
        job_id: str = "",
        part: int = 0,
        items: tuple[ItemRange, ...] = (),
    ) -> int:
        """Append a payload record and return its offset.

        An unconfirmed append is retried, since a duplicate that nothing refers to
        is harmless.

        Raises
        ------
        LogUnavailable
            The append was not confirmed within `timeout_ms` milliseconds.
        """
        data = encode_payload(
            kind=kind, body=body, job_id=job_id, part=part, items=items
        )
        return await self._append(data, timeout_ms)

    async def read(
        self, *, offset: int, kind: PayloadKind, job_id: str = "", part: int = 0
    ) -> Payload:
        """Return the payload at an offset.

        Raises
        ------
        OffsetExpired
            The record is past the retention of the log.
        LogUnavailable
            The log did not answer.
        PayloadInvalid
            The record is damaged or not the expected one.
        """
        data = await self.read_raw(offset)
        return decode_payload(data, kind=kind, job_id=job_id, part=part)

    async def copy(self, *, offset: int, timeout_ms: int) -> int:
        """Append a copy of the record at an offset and return its new offset."""
        return await self._append(await self.read_raw(offset), timeout_ms)

    async def read_raw(self, offset: int) -> bytes:
        """Return the encoded record at an offset."""
        records = await self._log.read(stream=self.stream, offset=offset, max_bytes=1)
        if not records or records[0].offset != offset:
            raise OffsetExpired(
                detail=f"stream {self.stream} has no record at offset {offset}"
            )
        return records[0].data

    async def _append(self, data: bytes, timeout_ms: int) -> int:
        backoff = Backoff(
            initial_ms=self._backoff_first_ms,
            max_ms=self._backoff_max_ms,
            rng=self._rng,
        )
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            while True:
                try:
                    return await self._log.append(stream=self.stream, data=data)
                except LogUnavailable:
                    await anyio.sleep(backoff.next_ms() / MS_PER_S)
        raise LogUnavailable(
            detail=f"payload append not confirmed within {timeout_ms} ms"
        )
