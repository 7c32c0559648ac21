"""Whether the output of an item goes to the log that all VMs follow, or apart."""

from foxtailbank.clock import Clock
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.read_share import ReadShare

# Smaller outputs cost no more in the record than their location would.
MIN_APART_BYTES = 1_024
# Of the store, for the reads of one output by all VMs. Beyond it an append and a few
# reads of its own cost the store less.
MAX_READ_BY_ALL_MS = 5


class TextPlacement:
    """Decides by the size of an output, the store's rate and the VMs that read it.

    Parameters
    ----------
    share : ReadShare
        Rate of the store and number of VMs.
    peers : PeerTable
        The other VMs, which all must know the log of texts.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, share: ReadShare, peers: PeerTable, clock: Clock) -> None:
        self._share = share
        self._peers = peers
        self._clock = clock

    def is_apart(self, size_bytes: int) -> bool:
        """Return whether an output of a size goes to the log of texts."""
        if size_bytes < MIN_APART_BYTES:
            return False
        if self._share.queue_ms(size_bytes) < MAX_READ_BY_ALL_MS:
            return False
        return self._peers.all_read_texts(self._clock.now_ms())
