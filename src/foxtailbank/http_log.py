"""The platform's log over HTTP."""

import struct
import typing as t
import urllib.parse

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel, WholeAnswer
from foxtailbank.log_service import LogBounds, LogRecord, LogService

CREATED = 201
GONE = 410
OK = 200
RETRY_AFTER_MS = 1_000
FRAME_HEAD = struct.Struct(">QI")
OCTET_STREAM = (("content-type", "application/octet-stream"),)

T = t.TypeVar("T")


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class HttpLogService(LogService):
    """Log service that is reached over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_ms : int
        Bound on making a connection, in milliseconds.
    timeout_ms : int
        Bound on a whole exchange beyond any asked wait, in milliseconds.
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
            No confirmation came; ``ran`` tells whether the record may be in the
            stream all the same.
        """
        path = f"/streams/{_quote(stream)}/records"
        answer = await self._exchange(
            "POST", path, content=data, headers=OCTET_STREAM, wanted=CREATED
        )
        return _decode(answer.body, _Appended).offset

    async def read(
        self, *, stream: str, offset: int, max_bytes: int, wait_ms: int = 0
    ) -> tuple[LogRecord, ...]:
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        offset : int
            First offset wanted.
        max_bytes : int
            Bound on the content returned; at least one record is returned.
        wait_ms : int
            How long the log may hold the answer while there is nothing to read.

        Returns
        -------
        tuple of LogRecord
            In order of offset; empty at the end of the stream.

        Raises
        ------
        OffsetExpired
            The offset lies before the retention.
        LogUnavailable
            The log gave no answer.
        """
        query = f"offset={offset}&max_bytes={max_bytes}&wait_ms={wait_ms}"
        path = f"/streams/{_quote(stream)}/records?{query}"
        answer = await self._exchange("GET", path, wait_ms=wait_ms, wanted=OK)
        return _split_frames(answer.body)

    async def bounds(self, *, stream: str) -> LogBounds:
        """Return the extent of a stream.

        Raises
        ------
        LogUnavailable
            The log gave no answer.
        """
        answer = await self._exchange("GET", f"/streams/{_quote(stream)}", wanted=OK)
        return _decode(answer.body, LogBounds)

    async def _exchange(
        self,
        method: str,
        path: str,
        *,
        wanted: int,
        wait_ms: int = 0,
        content: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> WholeAnswer:
        try:
            answer = await self._channel.request(
                method,
                path,
                headers=headers,
                content=content,
                timeout_ms=self._timeout_ms + wait_ms,
            )
        except exceptions.EndpointStalled as error:
            self._channel.drop_connections()
            raise _unavailable(error.detail, ran=error.ran) from error
        except (exceptions.EndpointRefused, exceptions.EndpointFailed) as error:
            raise _unavailable(error.detail, ran=error.ran) from error
        if answer.status == GONE:
            raise exceptions.OffsetExpired(detail=path)
        if answer.status != wanted:
            raise _unavailable(f"status {answer.status}", ran=exceptions.Ran.UNKNOWN)
        return answer


def _unavailable(detail: str, *, ran: exceptions.Ran) -> exceptions.LogUnavailable:
    return exceptions.LogUnavailable(
        detail=detail, retry_after_ms=RETRY_AFTER_MS, ran=ran
    )


def _split_frames(body: bytes) -> tuple[LogRecord, ...]:
    records = []
    position = 0
    while position < len(body):
        if position + FRAME_HEAD.size > len(body):
            raise _unavailable("truncated frame", ran=exceptions.Ran.NO)
        offset, length = FRAME_HEAD.unpack_from(body, position)
        start = position + FRAME_HEAD.size
        position = start + length
        if position > len(body):
            raise _unavailable("truncated frame", ran=exceptions.Ran.NO)
        records.append(LogRecord(offset=offset, data=body[start:position]))
    return tuple(records)


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        detail = f"malformed answer: {error}"
        raise _unavailable(detail, ran=exceptions.Ran.UNKNOWN) from error


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")
