"""Interface to a compacted log, which keeps the newest record of each key."""

import abc
import dataclasses

from foxtailbank.exceptions import FoxtailbankError, Ran


class StoreRefused(FoxtailbankError):
    """The store did not carry out the request."""

    code = "store_refused"
    status = 503


class StoreResponseLost(FoxtailbankError):
    """No response came; the request may have been carried out, or may be later."""

    code = "store_answer_lost"
    status = 504

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class StoreRejected(FoxtailbankError):
    """The store did not carry out the request, nor will it carry out a repeat."""

    code = "store_rejected"
    status = 500


class HistoryTruncated(FoxtailbankError):
    """The requested records have expired."""

    code = "history_gone"


class SequenceMismatch(FoxtailbankError):
    """The store expects another sequence number from this producer.

    Parameters
    ----------
    expected : int
        The sequence number that it expects; 0 if the producer is fenced.
    """

    code = "sequence_refused"

    def __init__(self, *, expected: int) -> None:
        super().__init__(
            detail=f"append out of sequence: the store expects number {expected}"
        )
        self.expected = expected


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyedRecord:
    """One record of the log.

    Attributes
    ----------
    key : str
        Its key; a later record with the same key replaces it.
    value : bytes
        Content; empty if the record deletes the key.
    offset : int
        Position in the log; -1 before it is appended.
    """

    key: str
    value: bytes
    offset: int = -1

    @property
    def size_bytes(self) -> int:
        """Size in the log: the key with its length, and the value."""
        return 1 + len(self.key.encode()) + len(self.value)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSlice:
    """Successive records of a log.

    Attributes
    ----------
    records : tuple of KeyedRecord
        In the order of their offsets.
    end : int
        Offset that the next record of the log will get.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendId:
    """Identity of one append, by which the store recognises a retry.

    Attributes
    ----------
    producer : str
        Name of the writing process.
    epoch : int
        Increases with each new writer of that name.
    sequence : int
        Sequence number of the append.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedLog(abc.ABC):
    """Totally ordered log that keeps at least the newest record of each key."""

    @abc.abstractmethod
    async def read_newest(self) -> LogSlice:
        """Return the newest record of each key, ordered by offset.

        Reading on from the slice's `end` misses no record.

        Raises
        ------
        StoreRefused, StoreResponseLost
            The store is unavailable.
        """

    @abc.abstractmethod
    async def read(self, *, start: int, wait_ms: int) -> LogSlice:
        """Return the records from an offset on; wait if there is none yet.

        Parameters
        ----------
        start : int
            Offset of the first record to return.
        wait_ms : int
            Longest wait for a record, in milliseconds.

        Raises
        ------
        HistoryTruncated
            Records from that offset on have expired.
        StoreRefused, StoreResponseLost
            The store is unavailable.
        """

    @abc.abstractmethod
    async def append(
        self, records: tuple[KeyedRecord, ...], *, append_id: AppendId
    ) -> int:
        """Append all records or none, and return the offset after them.

        Raises
        ------
        SequenceMismatch
            The sequence number does not follow the producer's last one.
        StoreRefused
            Nothing was appended.
        StoreRejected
            Nothing was appended, nor will a repeat be.
        StoreResponseLost
            The records may have been appended, or may be later.
        """


class RandomAccessLog(KeyedLog):
    """Keyed log of which chosen records are read, without following it."""

    @abc.abstractmethod
    async def read_span(self, *, start: int, size_bytes: int) -> LogSlice:
        """Return records from an offset on, at least those that a size covers.

        Parameters
        ----------
        start : int
            Offset of the first record to return.
        size_bytes : int
            Sum of `KeyedRecord.size_bytes` of the records to return.

        Raises
        ------
        HistoryTruncated
            Records from that offset on have expired.
        StoreRefused, StoreResponseLost
            The store is unavailable.
        """

    @abc.abstractmethod
    async def read_newest_from(self, key: str) -> tuple[KeyedRecord, ...]:
        """Return the newest records of a key and of some keys that follow it.

        Raises
        ------
        StoreRefused, StoreResponseLost
            The store is unavailable.
        """
