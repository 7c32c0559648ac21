"""Restores the ledger from a snapshot when log records are missing."""

import abc
import typing as t

from foxtailbank.exceptions import LogUnavailable, OffsetExpired
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.log_tailer import ResyncFailed
from foxtailbank.snapshot_store import SnapshotStore


class SnapshotSource(abc.ABC):
    """Source of ledger snapshots, such as the log or a peer."""

    @abc.abstractmethod
    async def fetch(self, *, next_offset: int) -> Ledger:
        """Return a ledger that covers all records before an offset.

        Parameters
        ----------
        next_offset : int
            First offset that has not been applied.

        Raises
        ------
        ResyncFailed
            The source has no such snapshot.
        LogUnavailable
            The source did not respond.
        """


class LogSnapshotSource(SnapshotSource):
    """Snapshots in the platform's log.

    Parameters
    ----------
    store : SnapshotStore
        Store to read from.
    """

    def __init__(self, *, store: SnapshotStore) -> None:
        self._store = store

    async def fetch(self, *, next_offset: int) -> Ledger:
        """Return the ledger of the latest snapshot in the log."""
        return await self._store.load_latest(next_offset=next_offset)


class LedgerResync:
    """`resync` callback of `LogTailer`.

    Parameters
    ----------
    replay : LedgerReplay
        Replay whose ledger is replaced.
    sources : sequence of SnapshotSource
        Tried in order until one has a recent enough snapshot.
    """

    def __init__(
        self, *, replay: LedgerReplay, sources: t.Sequence[SnapshotSource]
    ) -> None:
        self._replay = replay
        self._sources = tuple(sources)

    async def __call__(self, next_offset: int) -> int:
        """Replace the ledger and return the offset to continue from.

        Parameters
        ----------
        next_offset : int
            First offset that has not been applied.

        Raises
        ------
        ResyncFailed
            No source has a recent enough snapshot.
        """
        for source in self._sources:
            try:
                ledger = await source.fetch(next_offset=next_offset)
            except (ResyncFailed, LogUnavailable, OffsetExpired, TimeoutError):
                continue
            if ledger.next_offset >= next_offset:
                self._replay.replace(ledger)
                return ledger.next_offset
        raise ResyncFailed(
            detail=f"no snapshot covers all records before offset {next_offset}"
        )
