"""How much of the store's reads the saved output of running items may take."""

import collections

from foxtailbank.clock import Clock
from foxtailbank.read_share import ReadShare

WINDOW_MS = 2_000  # smooths reads that come every half a second
# Of the store's time, for all that the VMs read of the log of submissions. The rest is
# for results, for VMs that start and for peaks.
MAX_FOLLOWED_SHARE = 0.5


class ProgressBudget:
    """Allows to save progress while the log takes a bounded share of the store's reads.

    All VMs read all that is saved. Without it an item runs again from its start if its
    VM is lost, so that saving it yields to all else.

    Parameters
    ----------
    share : ReadShare
        Rate of the store and number of VMs.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, share: ReadShare, clock: Clock) -> None:
        self._share = share
        self._clock = clock
        self._reads: collections.deque[tuple[int, int]] = collections.deque()
        self._window_bytes = 0

    def on_read(self, size_bytes: int) -> None:
        """Count bytes of the log that this VM has read, as all others do."""
        self._reads.append((self._clock.now_ms(), size_bytes))
        self._window_bytes += size_bytes
        self._drop_old()

    @property
    def allows_saving(self) -> bool:
        """Whether progress may be saved now."""
        self._drop_old()
        busy_ms = self._share.queue_ms(self._window_bytes)
        return busy_ms <= WINDOW_MS * MAX_FOLLOWED_SHARE

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while self._reads and self._reads[0][0] <= oldest_ms:
            self._window_bytes -= self._reads.popleft()[1]
