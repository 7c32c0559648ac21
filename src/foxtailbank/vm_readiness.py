"""Whether an entry VM can serve requests and start batch items."""

from foxtailbank.catalogue_records import STREAM as CATALOGUE
from foxtailbank.catalogue_service import CatalogueService
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.ledger_service import LedgerService
from foxtailbank.log_tailer import LogTailer
from foxtailbank.peer_sync import PeerSync
from foxtailbank.peering import Peering


class VmReadiness:
    """Decides from the state of a VM's services what the VM may do.

    Parameters
    ----------
    catalogue : CatalogueService
        Service that holds the entries in effect.
    ledger : LedgerService
        Service that holds jobs and calls.
    peer_sync : PeerSync
        Synchronisation of both with other VMs.
    peering : Peering
        The other entry VMs.
    directory : EndpointDirectory
        Known endpoints.
    max_view_age_ms : int
        Age in milliseconds up to which the ledger's state, or the contact with the
        other VMs, allows batch items to start.
    """

    def __init__(
        self,
        *,
        catalogue: CatalogueService,
        ledger: LedgerService,
        peer_sync: PeerSync,
        peering: Peering,
        directory: EndpointDirectory,
        max_view_age_ms: int,
    ) -> None:
        self._catalogue = catalogue
        self._ledger = ledger
        self._peer_sync = peer_sync
        self._peering = peering
        self._directory = directory
        self._max_view_age_ms = max_view_age_ms

    @property
    def tailers(self) -> tuple[LogTailer, ...]:
        """Readers of the log streams that the VM follows."""
        return (self._catalogue.tailer, self._ledger.tailer)

    def is_ready(self) -> bool:
        """Return whether this VM follows its logs and has a catalogue and endpoints."""
        if any(tailer.halted_by is not None for tailer in self.tailers):
            return False
        has_catalogue = (
            self._catalogue.tailer.caught_up_at_ms is not None
            or CATALOGUE in self._peer_sync.synced_streams
        )
        return has_catalogue and bool(self._directory.backends_by_id)

    def may_start_batch(self) -> bool:
        """Return whether this VM's view is recent enough to start batch items."""
        age_ms = self._ledger.tailer.age_ms()
        if age_ms is not None and age_ms <= self._max_view_age_ms:
            return True
        return self._peering.has_contact_with_all(within_ms=self._max_view_age_ms)
