"""HTTP client of the platform's log."""

import struct
import typing as t

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import CompleteResponse, HttpChannel
from foxtailbank.log_service import LogBounds, LogRecord, LogService
from foxtailbank.response_limits import MAX_RECORDS_BYTES
from foxtailbank.urls import quote_segment

CREATED = 201
GONE = 410
OK = 200
RETRY_AFTER_MS = 1_000
FRAME_HEADER = struct.Struct(">QI")
OCTET_STREAM = (("content-type", "application/octet-stream"),)

T = t.TypeVar("T")


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class HttpLogService(LogService):
    """Log service accessed over HTTP.

    Parameters
    ----------
    address : str
        IP address and port.
    connect_ms : int
        Connect timeout, in milliseconds.
    timeout_ms : int
        Timeout of a whole exchange, in milliseconds; the ``wait_ms`` of a long poll is
        added to it.
    """

    def __init__(
        self, *, address: str, connect_ms: int = 1_000, timeout_ms: int = 5_000
    ) -> None:
        self._channel = HttpChannel(address=address, connect_ms=connect_ms)
        self._timeout_ms = timeout_ms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    async def append(self, *, stream: str, data: bytes) -> int:
        """Append one record.

        Parameters
        ----------
        stream : str
            Name of the stream.
        data : bytes
            Content.

        Returns
        -------
        int
            Offset of the record.

        Raises
        ------
        LogUnavailable
            The append was not confirmed; ``ran`` says whether the record may still
            be in the stream.
        """
        path = f"/streams/{quote_segment(stream)}/records"
        response = await self._exchange(
            "POST", path, content=data, headers=OCTET_STREAM, expected_status=CREATED
        )
        return _decode(response.body, _Appended).offset

    async def read(
        self, *, stream: str, offset: int, max_bytes: int, wait_ms: int = 0
    ) -> tuple[LogRecord, ...]:
        """Read records, starting at an offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        offset : int
            Offset of the first record to read.
        max_bytes : int
            Limit on the total content returned. The first record is returned even if
            it is larger.
        wait_ms : int
            How long the log may hold the request (long poll) while there is nothing
            to read, in milliseconds.

        Returns
        -------
        tuple of LogRecord
            Ordered by offset; empty at the end of the stream.

        Raises
        ------
        OffsetExpired
            The record at the offset has been deleted by the log's retention.
        LogUnavailable
            The log did not respond.
        """
        query = f"offset={offset}&max_bytes={max_bytes}&wait_ms={wait_ms}"
        path = f"/streams/{quote_segment(stream)}/records?{query}"
        response = await self._exchange(
            "GET", path, wait_ms=wait_ms, expected_status=OK
        )
        if response.ends_with_connection and not response.body:
            # "No record" decides that a payload is gone or a replay has caught up.
            raise _unavailable("empty response without a length", ran=exceptions.Ran.NO)
        return _parse_frames(response.body)

    async def bounds(self, *, stream: str) -> LogBounds:
        """Return the extent of a stream.

        Raises
        ------
        LogUnavailable
            The log did not respond.
        """
        response = await self._exchange(
            "GET", f"/streams/{quote_segment(stream)}", expected_status=OK
        )
        return _decode(response.body, LogBounds)

    async def _exchange(
        self,
        method: str,
        path: str,
        *,
        expected_status: int,
        wait_ms: int = 0,
        content: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> CompleteResponse:
        try:
            response = await self._channel.request(
                method,
                path,
                headers=headers,
                content=content,
                timeout_ms=self._timeout_ms + wait_ms,
                max_bytes=MAX_RECORDS_BYTES,
            )
        except exceptions.EndpointStalled as error:
            self._channel.drop_connections()
            raise _unavailable(error.detail, ran=error.ran) from error
        except (exceptions.EndpointRefused, exceptions.EndpointFailed) as error:
            raise _unavailable(error.detail, ran=error.ran) from error
        if response.status == GONE:
            raise exceptions.OffsetExpired(detail=path)
        if response.status != expected_status:
            raise _unavailable(
                f"unexpected status {response.status}", ran=exceptions.Ran.UNKNOWN
            )
        return response


def _unavailable(detail: str, *, ran: exceptions.Ran) -> exceptions.LogUnavailable:
    return exceptions.LogUnavailable(
        detail=detail, retry_after_ms=RETRY_AFTER_MS, ran=ran
    )


def _parse_frames(body: bytes) -> tuple[LogRecord, ...]:
    records = []
    position = 0
    while position < len(body):
        if position + FRAME_HEADER.size > len(body):
            raise _unavailable("truncated frame in the response", ran=exceptions.Ran.NO)
        offset, length = FRAME_HEADER.unpack_from(body, position)
        start = position + FRAME_HEADER.size
        position = start + length
        if position > len(body):
            raise _unavailable("truncated frame in the response", ran=exceptions.Ran.NO)
        records.append(LogRecord(offset=offset, data=body[start:position]))
    return tuple(records)


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        detail = f"malformed response: {error}"
        raise _unavailable(detail, ran=exceptions.Ran.UNKNOWN) from error
