"""How much one VM asks of a store that all VMs read at once."""

import typing as t

from foxtailbank.clock import MS_PER_S

# In which the reads of all VMs, one each, are to be served. Well below the time after
# which a call is given up and the time that a sync leaves to the read in progress.
ROUND_MS = 150
LINK_SHARE = 0.5  # of a VM's link for one read; other traffic takes the rest
MIN_READ_BYTES = 32 << 10  # some records of usual size


class ReadShare:
    """Bounds reads by the rates of the store and of this VM's link.

    VMs that are behind read again at once, so that one read of each is always in the
    store's queue. If these take longer than a call may, calls are given up, and what
    the store has read for them is lost. A response that fills this VM's link for long
    holds up those to its other calls.

    Parameters
    ----------
    store_bytes_per_s : float
        Rate at which the store serves the reads of all VMs together; 0 if unknown.
    link_bytes_per_s : float
        Rate of this VM's link; 0 if unknown.
    """

    def __init__(
        self, *, store_bytes_per_s: float = 0.0, link_bytes_per_s: float = 0.0
    ) -> None:
        self._store_bytes_per_s = store_bytes_per_s
        self._link_bytes_per_s = link_bytes_per_s
        self._count_vms: t.Callable[[], int] = _one_vm

    def set_vm_count(self, count: t.Callable[[], int]) -> None:
        """Set the function that returns how many VMs read, this one included."""
        self._count_vms = count

    def read_bytes(self, max_bytes: int) -> int:
        """Return how much to ask for in one read, in bytes.

        Parameters
        ----------
        max_bytes : int
            Most that the store returns at once, in bytes.
        """
        store_share = self._store_bytes_per_s / max(1, self._count_vms())
        link_share = self._link_bytes_per_s * LINK_SHARE
        rates = [rate for rate in (store_share, link_share) if rate]
        if not rates:
            return max_bytes
        bound = int(min(rates) * ROUND_MS / MS_PER_S)
        return min(max_bytes, max(MIN_READ_BYTES, bound))

    def queue_ms(self, size_bytes: int) -> int:
        """Return how long the store takes for a read of each VM, in milliseconds.

        Parameters
        ----------
        size_bytes : int
            Size of each, in bytes.
        """
        if not self._store_bytes_per_s:
            return 0
        all_bytes = size_bytes * self._count_vms()
        return int(all_bytes * MS_PER_S / self._store_bytes_per_s)


def _one_vm() -> int:
    return 1
