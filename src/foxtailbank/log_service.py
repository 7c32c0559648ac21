"""Interface to the platform's append-only log."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogRecord:
    """One record of a stream.

    Attributes
    ----------
    offset : int
        Position in the stream.
    data : bytes
        Content of the record.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogBounds:
    """Extent of a stream.

    Attributes
    ----------
    earliest : int
        Offset of the oldest retained record.
    end : int
        Offset that the next record will be assigned.
    """

    earliest: int
    end: int


class LogService(abc.ABC):
    """Append-only streams with offsets and limited retention."""

    @abc.abstractmethod
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
            The append was not confirmed; the record may or may not be in the stream.
        """

    @abc.abstractmethod
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

    @abc.abstractmethod
    async def bounds(self, *, stream: str) -> LogBounds:
        """Return the extent of a stream.

        Raises
        ------
        LogUnavailable
            The log did not respond.
        """
