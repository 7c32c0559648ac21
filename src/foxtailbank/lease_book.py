"""What the core asks of leases that the platform keeps for processes."""

import abc


class LeaseBook(abc.ABC):
    """Leases by which others tell a process that is cut off from one that is gone."""

    @abc.abstractmethod
    async def renew(self) -> None:
        """Take or extend this process's lease.

        Raises
        ------
        StoreRefused, StoreAnswerLost
            The store is away.
        """

    @abc.abstractmethod
    async def release(self) -> None:
        """Give this process's lease up.

        Raises
        ------
        StoreRefused, StoreAnswerLost
            The store is away.
        """

    @abc.abstractmethod
    async def is_held(self, *, vm_id: str, incarnation: str) -> bool:
        """Return whether a process holds its lease.

        Raises
        ------
        StoreRefused, StoreAnswerLost
            It can't be told at present.
        """
