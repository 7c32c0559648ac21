"""A stream whose records and state entry VMs pass on to each other."""

import abc

from foxtailbank.catalogue_service import CatalogueService
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.ledger_service import LEDGER_STREAM, LedgerService
from foxtailbank.log_service import LogRecord
from foxtailbank.log_tailer import LogTailer
from foxtailbank.record_cache import RecordCache


class StateInvalid(FoxtailbankError):
    """A peer's state is damaged or does not fit."""

    code = "peer_state_invalid"


class ReplicatedStream(abc.ABC):
    """One stream of the log with the state that its replay makes.

    Attributes
    ----------
    name : str
        Name of the stream.
    tailer : LogTailer
        Follows it.
    cache : RecordCache
        Latest records applied.
    """

    name: str
    tailer: LogTailer
    cache: RecordCache

    @abc.abstractmethod
    def state_parts(self) -> tuple[bytes, ...]:
        """Return the present state in parts; empty if there is none."""

    @abc.abstractmethod
    def covers_offset(self) -> int:
        """Return the last offset that the present state includes; -1 if none."""

    @abc.abstractmethod
    def restore(self, parts: tuple[bytes, ...]) -> None:
        """Go on from a peer's state, if it is ahead.

        Raises
        ------
        StateInvalid
            The state is damaged.
        """

    def offer(self, records: tuple[LogRecord, ...]) -> bool:
        """Apply records of a peer; False if records before them are missing."""
        return self.tailer.offer(records)


class CatalogueStream(ReplicatedStream):
    """The catalogue.

    Parameters
    ----------
    service : CatalogueService
        Replay of the catalogue.
    """

    def __init__(self, *, service: CatalogueService) -> None:
        self._service = service
        self.name = "catalogue"
        self.tailer = service.tailer
        self.cache = service.cache

    def state_parts(self) -> tuple[bytes, ...]:
        """Return the encoded entries and history."""
        return (self._service.encoded_state(),)

    def covers_offset(self) -> int:
        """Return the last offset applied."""
        return self._service.catalogue.applied_offset

    def restore(self, parts: tuple[bytes, ...]) -> None:
        """Take over a peer's catalogue."""
        if not self._service.restore(b"".join(parts)):
            raise StateInvalid(detail="catalogue of a peer")


class LedgerStream(ReplicatedStream):
    """The ledger.

    Parameters
    ----------
    service : LedgerService
        Replay of the ledger.
    """

    def __init__(self, *, service: LedgerService) -> None:
        self._service = service
        self.name = LEDGER_STREAM
        self.tailer = service.tailer
        self.cache = service.cache

    def state_parts(self) -> tuple[bytes, ...]:
        """Return the ledger's image in parts."""
        return self._service.encoded_state()

    def covers_offset(self) -> int:
        """Return the last offset applied."""
        return self._service.ledger.next_offset - 1

    def restore(self, parts: tuple[bytes, ...]) -> None:
        """Take over a peer's ledger."""
        if not self._service.restore(parts):
            raise StateInvalid(detail="ledger of a peer")
