"""What the core asks of a log that keeps the newest record of each key."""

import abc
import dataclasses

from foxtailbank.exceptions import FoxtailbankError, Ran


class StoreRefused(FoxtailbankError):
    """The store did nothing of what it was asked."""

    code = "store_refused"
    status = 503


class StoreAnswerLost(FoxtailbankError):
    """No answer came; what was asked may have been done or be done later."""

    code = "store_answer_lost"
    status = 504

    def __init__(self, *, detail: str = "") -> None:
        super().__init__(detail=detail, ran=Ran.UNKNOWN)


class HistoryGone(FoxtailbankError):
    """The records that were asked for have expired."""

    code = "history_gone"


class SequenceRefused(FoxtailbankError):
    """The store expects another number from this producer.

    Parameters
    ----------
    expected : int
        The number that it expects; 0 if the producer is fenced.
    """

    code = "sequence_refused"

    def __init__(self, *, expected: int) -> None:
        super().__init__(detail=f"sequence {expected} expected")
        self.expected = expected


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyedRecord:
    """One record.

    Attributes
    ----------
    key : str
        Its key; later records of the same key replace it.
    value : bytes
        Content; empty when the key is dropped.
    offset : int
        Place in the log; -1 before it is appended.
    """

    key: str
    value: bytes
    offset: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSlice:
    """Records that follow each other.

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
class ProducerStep:
    """Identity of one append, by which the store recognises a repetition.

    Attributes
    ----------
    producer : str
        Name of the writing process.
    epoch : int
        Rises with each new writer of that name.
    sequence : int
        Number of the append.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedLog(abc.ABC):
    """One totally ordered log whose newest record of each key lasts."""

    @abc.abstractmethod
    async def newest(self) -> LogSlice:
        """Return the newest record of each key, by offset.

        The slice's `end` is an offset from which reading on misses nothing.

        Raises
        ------
        StoreRefused, StoreAnswerLost
            The store is away.
        """

    @abc.abstractmethod
    async def read(self, *, start: int, wait_ms: int) -> LogSlice:
        """Return records from an offset on, waiting for the first one.

        Parameters
        ----------
        start : int
            Offset of the first record wanted.
        wait_ms : int
            Longest wait for a record, in milliseconds.

        Raises
        ------
        HistoryGone
            The records from there on have expired.
        StoreRefused, StoreAnswerLost
            The store is away.
        """

    @abc.abstractmethod
    async def append(
        self, records: tuple[KeyedRecord, ...], *, step: ProducerStep
    ) -> int:
        """Append records all or nothing and return the offset after them.

        Raises
        ------
        SequenceRefused
            The step does not follow the producer's last one.
        StoreRefused
            Nothing was done.
        StoreAnswerLost
            It may have been done, or be done later.
        """
