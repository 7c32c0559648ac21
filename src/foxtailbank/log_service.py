"""The platform's append-only log, as the system sees it."""

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
        Content as appended.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogBounds:
    """Extent of a stream.

    Attributes
    ----------
    earliest : int
        Offset of the oldest record still kept.
    end : int
        Offset that the next append will get.
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
            No confirmation came; the record may or may not be in the stream.
        """

    @abc.abstractmethod
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

    @abc.abstractmethod
    async def bounds(self, *, stream: str) -> LogBounds:
        """Return the extent of a stream.

        Raises
        ------
        LogUnavailable
            The log gave no answer.
        """
