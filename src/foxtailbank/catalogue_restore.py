"""Catching up from the log, and when a new snapshot is due."""

import dataclasses
import typing as t

from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_events import CatalogueEvent, CatalogueRestored
from foxtailbank.catalogue_records import (
    CatalogueEnvelope,
    CatalogueRecord,
    CatalogueSnapshot,
    decode_envelope,
)
from foxtailbank.catalogue_state import CatalogueState, decode_snapshot
from foxtailbank.log_service import LogRecord
from foxtailbank.sentinels import Missing

MAX_SNAPSHOT_AGE_MS = 3_600_000
MAX_RECORDS_SINCE_SNAPSHOT = 1_000
NO_SNAPSHOT = Missing(reason="no_snapshot")


def catch_up(
    catalogue: Catalogue, records: t.Sequence[LogRecord], *, earliest: int
) -> tuple[CatalogueEvent, ...] | Missing:
    """Apply records, starting from a snapshot if retention has deleted some.

    Parameters
    ----------
    catalogue : Catalogue
        Updated in place.
    records : sequence of LogRecord
        All records from `earliest` on, sorted by offset.
    earliest : int
        Offset of the oldest record in the log.

    Returns
    -------
    tuple of CatalogueEvent or Missing
        Missing, with nothing applied, if records were deleted and the log has no
        snapshot that covers them; the state must then come from a peer.
    """
    decoded = [(record.offset, decode_envelope(record.data)) for record in records]
    events: list[CatalogueEvent] = []
    if catalogue.applied_offset < earliest - 1:
        state = _latest_state(decoded, min_offset=earliest - 1)
        if state is None:
            return NO_SNAPSHOT
        catalogue.restore(state)
        events.append(CatalogueRestored(offset=state.applied_offset))
    for offset, record in decoded:
        events.extend(catalogue.apply(offset, record))
    return tuple(events)


def _latest_state(
    decoded: t.Sequence[tuple[int, CatalogueRecord]], *, min_offset: int
) -> CatalogueState | None:
    for _, record in reversed(decoded):
        if not isinstance(record, CatalogueEnvelope):
            continue
        for item in record.entries:
            if not isinstance(item, CatalogueSnapshot):
                continue
            if item.covers_offset < min_offset:
                continue
            state = decode_snapshot(item)
            if isinstance(state, CatalogueState):
                return state
    return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatestSnapshot:
    """Position and age of the latest snapshot in the log.

    Attributes
    ----------
    offset : int
        Offset of its record; -1 if there is none.
    seen_ms : int
        When this VM read it, on its own clock in milliseconds.
    """

    offset: int
    seen_ms: int


def is_snapshot_due(
    latest: LatestSnapshot, *, earliest: int, end: int, now_ms: int
) -> bool:
    """Tell whether a new snapshot must be appended.

    Parameters
    ----------
    latest : LatestSnapshot
        The latest snapshot.
    earliest : int
        Offset of the oldest record in the log.
    end : int
        Offset of the next append.
    now_ms : int
        Current time on this VM's clock in milliseconds.

    Returns
    -------
    bool
        True if the snapshot is old, since retention may delete all records of an
        idle stream at once; if many records follow it, since they are replayed
        at start; or, once retention has deleted records, if it lies in the
        older half of the log.
    """
    if now_ms - latest.seen_ms >= MAX_SNAPSHOT_AGE_MS:
        return True
    if end - latest.offset > MAX_RECORDS_SINCE_SNAPSHOT:
        return True
    return earliest > 0 and latest.offset < (earliest + end) // 2
