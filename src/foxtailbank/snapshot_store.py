"""Writes snapshots to the log and finds them there."""

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
_MARK = b'"Snapshot"'
_UNUSABLE = (SnapshotInvalid, PayloadInvalid, OffsetExpired, UnsupportedRecord)


class SnapshotStore:
    """Snapshots of the ledger in the platform's log.

    Parameters
    ----------
    log : LogService
        Where the streams are.
    ledger_stream : str
        Name of the stream that records which snapshots there are.
    payloads : PayloadStore
        Where the parts are.
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
            Entry that makes the snapshot known once it is in the ledger. It
            may come late: it names the offset that it covers.

        Raises
        ------
        LogUnavailable
            A part was not confirmed.
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
        """Return the ledger that a snapshot holds.

        Raises
        ------
        SnapshotInvalid, PayloadInvalid
            The parts are not those that the entry names.
        UnsupportedRecord
            A newer version wrote the parts.
        OffsetExpired
            Parts are no longer kept.
        LogUnavailable
            The log gave no answer.
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
            raise SnapshotInvalid(detail="the snapshot covers another offset")
        return ledger

    async def load_latest(self, *, next_offset: int) -> Ledger:
        """Return the ledger of the snapshot that covers most.

        Parameters
        ----------
        next_offset : int
            First offset that has not been applied; the ledger returned is not
            behind it.

        Raises
        ------
        ResyncFailed
            No usable snapshot reaches that far, or the records after it are no
            longer kept.
        LogUnavailable
            The log gave no answer.
        """
        bounds = await self._log.bounds(stream=self._ledger_stream)
        needed = max(next_offset, bounds.earliest)
        tried: set[str] = set()
        for window in _windows(bounds):
            for entry in await self._find(window, needed):
                if entry.digest in tried:
                    continue
                tried.add(entry.digest)
                ledger = await self._try_load(entry)
                if ledger is not None:
                    return ledger
        raise ResyncFailed(detail=f"no snapshot reaches {needed}")

    async def _try_load(self, entry: Snapshot) -> Ledger | None:
        try:
            return await self.load(entry)
        except _UNUSABLE:
            return None

    async def _find(self, window: LogBounds, needed: int) -> list[Snapshot]:
        """Return the snapshots recorded in a window, the furthest first."""
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
        reaching = [entry for entry in found if entry.covers_offset + 1 >= needed]
        return sorted(reaching, key=lambda entry: entry.covers_offset, reverse=True)


def _windows(bounds: LogBounds) -> list[LogBounds]:
    """Return ever longer stretches that end at the end of a stream."""
    windows = []
    size = FIRST_WINDOW_RECORDS
    first = bounds.end
    while first > bounds.earliest:
        first = max(bounds.end - size, bounds.earliest)
        windows.append(LogBounds(earliest=first, end=bounds.end))
        size *= 4
    return windows


def _snapshots_in(data: bytes) -> list[Snapshot]:
    if _MARK not in data:
        return []
    try:
        envelope = decode(data)
    except (MalformedRecord, UnsupportedRecord):
        return []
    return [entry for entry in envelope.entries if isinstance(entry, Snapshot)]
