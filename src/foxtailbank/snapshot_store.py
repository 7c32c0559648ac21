"""Writes snapshots of the ledger to the log and loads them from it."""

import anyio

from foxtailbank.exceptions import OffsetExpired
from foxtailbank.ledger import Ledger
from foxtailbank.log_service import LogBounds, LogService
from foxtailbank.log_tailer import ResyncFailed
from foxtailbank.payload import PayloadInvalid, PayloadKind
from foxtailbank.payload_store import PayloadStore
from foxtailbank.records import MalformedRecord, Snapshot, UnsupportedRecord, decode
from foxtailbank.snapshot import (
    LedgerImage,
    SnapshotAssembler,
    SnapshotDigest,
    SnapshotInvalid,
    encode_parts,
)

FIRST_WINDOW_RECORDS = 1024
READ_BYTES = 1024 * 1024
APPEND_TIMEOUT_MS = 30_000
_SNAPSHOT_TAG = b'"Snapshot"'
_UNUSABLE_ERRORS = (SnapshotInvalid, PayloadInvalid, OffsetExpired, UnsupportedRecord)


class SnapshotStore:
    """Snapshots of the ledger in the platform's log.

    Parameters
    ----------
    log : LogService
        Log that holds the streams.
    ledger_stream : str
        Name of the ledger stream, whose `Snapshot` entries list the snapshots.
    payloads : PayloadStore
        Store that holds the parts.
    """

    def __init__(
        self, *, log: LogService, ledger_stream: str, payloads: PayloadStore
    ) -> None:
        self._log = log
        self._ledger_stream = ledger_stream
        self._payloads = payloads

    async def write(self, image: LedgerImage) -> Snapshot:
        """Append the parts of a snapshot.

        Parameters
        ----------
        image : LedgerImage
            State to write; must cover at least one record.

        Returns
        -------
        Snapshot
            Entry that registers the snapshot once it is appended to the ledger. It
            may be appended after further records, for it contains the offset that
            the snapshot covers.

        Raises
        ------
        LogUnavailable
            The append of a part was not confirmed.
        """
        digest = SnapshotDigest()
        offsets = []
        for number, part in enumerate(encode_parts(image)):
            digest.update(part)
            offset = await self._payloads.append(
                kind=PayloadKind.SNAPSHOT,
                body=part,
                part=number,
                timeout_ms=APPEND_TIMEOUT_MS,
            )
            offsets.append(offset)
        return Snapshot(
            covers_offset=image.covers_offset,
            digest=digest.value(),
            payload_offsets=tuple(offsets),
        )

    async def load(self, entry: Snapshot) -> Ledger:
        """Load the ledger from a snapshot.

        Raises
        ------
        SnapshotInvalid, PayloadInvalid
            The parts do not match the entry.
        UnsupportedRecord
            The parts were written by a newer version.
        OffsetExpired
            Parts have been deleted by the log's retention.
        LogUnavailable
            The log did not respond.
        """
        assembler = SnapshotAssembler(digest=entry.digest)
        for number, offset in enumerate(entry.payload_offsets):
            payload = await self._payloads.read(
                offset=offset, kind=PayloadKind.SNAPSHOT, part=number
            )
            assembler.feed(payload.body)
            await anyio.sleep(0)
        ledger = assembler.finish()
        if ledger.next_offset != entry.covers_offset + 1:
            raise SnapshotInvalid(
                detail="the snapshot covers another offset than its entry says"
            )
        return ledger

    async def load_latest(self, *, next_offset: int) -> Ledger:
        """Load the ledger from the usable snapshot that covers the most records.

        Parameters
        ----------
        next_offset : int
            Offset of the first record not yet applied; the ledger returned is never
            behind it.

        Raises
        ------
        ResyncFailed
            No usable snapshot covers enough records, or records after it have been
            deleted by the log's retention.
        LogUnavailable
            The log did not respond.
        """
        bounds = await self._log.bounds(stream=self._ledger_stream)
        min_next_offset = max(next_offset, bounds.earliest)
        tried: set[str] = set()
        for window in _search_windows(bounds):
            for entry in await self._find_snapshots(window, min_next_offset):
                if entry.digest in tried:
                    continue
                tried.add(entry.digest)
                ledger = await self._try_load(entry)
                if ledger is not None:
                    return ledger
        raise ResyncFailed(
            detail=f"no usable snapshot covers the records before {min_next_offset}"
        )

    async def _try_load(self, entry: Snapshot) -> Ledger | None:
        try:
            return await self.load(entry)
        except _UNUSABLE_ERRORS:
            return None

    async def _find_snapshots(
        self, window: LogBounds, min_next_offset: int
    ) -> list[Snapshot]:
        """Return the snapshots listed in a window, by descending covered offset."""
        found = []
        offset = window.earliest
        while offset < window.end:
            records = await self._log.read(
                stream=self._ledger_stream, offset=offset, max_bytes=READ_BYTES
            )
            if not records:
                break
            for record in records:
                found.extend(_snapshots_in(record.data))
            offset = records[-1].offset + 1
        usable = [
            entry for entry in found if entry.covers_offset + 1 >= min_next_offset
        ]
        return sorted(usable, key=lambda entry: entry.covers_offset, reverse=True)


def _search_windows(bounds: LogBounds) -> list[LogBounds]:
    """Return windows of growing size, each ending at the end of the stream."""
    windows = []
    size = FIRST_WINDOW_RECORDS
    first = bounds.end
    while first > bounds.earliest:
        first = max(bounds.end - size, bounds.earliest)
        windows.append(LogBounds(earliest=first, end=bounds.end))
        size *= 4
    return windows


def _snapshots_in(data: bytes) -> list[Snapshot]:
    if _SNAPSHOT_TAG not in data:
        return []
    try:
        envelope = decode(data)
    except (MalformedRecord, UnsupportedRecord):
        return []
    return [entry for entry in envelope.entries if isinstance(entry, Snapshot)]
