"""Streams whose records and state entry VMs exchange with each other."""

import abc

from foxtailbank.catalogue_service import CatalogueService
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.ledger_service import LEDGER_STREAM, LedgerService
from foxtailbank.log_service import LogRecord
from foxtailbank.log_tailer import LogTailer
from foxtailbank.record_cache import RecordCache


class StateInvalid(FoxtailbankError):
    """A peer's state is corrupt or incompatible."""

    code = "peer_state_invalid"


class ReplicatedStream(abc.ABC):
    """A stream of the log and the state built by replaying it.

    Attributes
    ----------
    name : str
        Name of the stream.
    tailer : LogTailer
        Reads the stream.
    cache : RecordCache
        Latest applied records.
    """

    name: str
    tailer: LogTailer
    cache: RecordCache

    @abc.abstractmethod
    def state_parts(self) -> tuple[bytes, ...]:
        """Return the current state in parts; empty if there is none."""

    @abc.abstractmethod
    def covers_offset(self) -> int:
        """Return the last offset that the current state covers; -1 if none."""

    @abc.abstractmethod
    def restore(self, parts: tuple[bytes, ...]) -> None:
        """Continue from a peer's state if it is newer.

        Raises
        ------
        StateInvalid
            The state is corrupt or incompatible.
        """

    def offer(self, records: tuple[LogRecord, ...]) -> bool:
        """Apply a peer's records; return False if they could not all be applied."""
        return self.tailer.apply_from_peer(records)


class CatalogueStream(ReplicatedStream):
    """The catalogue stream.

    Parameters
    ----------
    service : CatalogueService
        Service that replays the catalogue.
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
        """Return the last applied offset."""
        return self._service.catalogue.applied_offset

    def restore(self, parts: tuple[bytes, ...]) -> None:
        """Restore a peer's catalogue if it is newer."""
        if not self._service.restore(b"".join(parts)):
            raise StateInvalid(detail="catalogue of a peer")


class LedgerStream(ReplicatedStream):
    """The ledger stream.

    Parameters
    ----------
    service : LedgerService
        Service that replays the ledger.
    """

    def __init__(self, *, service: LedgerService) -> None:
        self._service = service
        self.name = LEDGER_STREAM
        self.tailer = service.tailer
        self.cache = service.cache

    def state_parts(self) -> tuple[bytes, ...]:
        """Return the encoded parts of a ledger snapshot."""
        return self._service.encoded_state()

    def covers_offset(self) -> int:
        """Return the last applied offset."""
        return self._service.ledger.next_offset - 1

    def restore(self, parts: tuple[bytes, ...]) -> None:
        """Restore a peer's ledger if it is newer."""
        if not self._service.restore(parts):
            raise StateInvalid(detail="ledger of a peer")
