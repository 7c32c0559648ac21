"""Interface to the leases that the platform keeps for processes."""

import abc


class LeaseTable(abc.ABC):
    """Leases that show whether a process that is cut off from its peers still runs."""

    @abc.abstractmethod
    async def renew(self) -> None:
        """Acquire or extend this process's lease.

        Raises
        ------
        StoreRefused, StoreResponseLost
            The store is unavailable.
        """

    @abc.abstractmethod
    async def release(self) -> None:
        """Release this process's lease.

        Raises
        ------
        StoreRefused, StoreResponseLost
            The store is unavailable.
        """

    @abc.abstractmethod
    async def is_held(self, *, vm_id: str, incarnation: str) -> bool:
        """Return whether a process holds its lease.

        Raises
        ------
        StoreRefused, StoreResponseLost
            The store is unavailable, so the answer is unknown.
        """
