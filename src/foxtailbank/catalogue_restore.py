"""Bringing a catalogue up to date from what the log still keeps."""

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
from foxtailbank.catalogue_state import CatalogueState, read_snapshot
from foxtailbank.log_service import LogRecord
from foxtailbank.sentinels import Missing

SNAPSHOT_PERIOD_MS = 3_600_000
SNAPSHOT_RECORDS = 1_000
NO_SNAPSHOT = Missing(reason="no_snapshot")


def catch_up(
    catalogue: Catalogue, records: t.Sequence[LogRecord], *, earliest: int
) -> tuple[CatalogueEvent, ...] | Missing:
    """Apply records, from a snapshot on if retention left a gap before them.

    Parameters
    ----------
    catalogue : Catalogue
        Brought up to date in place.
    records : sequence of LogRecord
        All records from `earliest` on, in order of offset.
    earliest : int
        Offset of the oldest record that the log keeps.

    Returns
    -------
    tuple of CatalogueEvent or Missing
        Missing, with nothing applied, if the gap cannot be closed from the log;
        the state must then come from a peer.
    """
    decoded = [(record.offset, decode_envelope(record.data)) for record in records]
    events: list[CatalogueEvent] = []
    if catalogue.applied_offset < earliest - 1:
        state = _latest_state(decoded, least_offset=earliest - 1)
        if state is None:
            return NO_SNAPSHOT
        catalogue.restore(state)
        events.append(CatalogueRestored(offset=state.applied_offset))
    for offset, record in decoded:
        events.extend(catalogue.apply(offset, record))
    return tuple(events)


def _latest_state(
    decoded: t.Sequence[tuple[int, CatalogueRecord]], *, least_offset: int
) -> CatalogueState | None:
    for _, record in reversed(decoded):
        if not isinstance(record, CatalogueEnvelope):
            continue
        for item in record.entries:
            if not isinstance(item, CatalogueSnapshot):
                continue
            if item.covers_offset < least_offset:
                continue
            state = read_snapshot(item)
            if isinstance(state, CatalogueState):
                return state
    return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotAge:
    """How far the latest snapshot on the log lies back.

    Attributes
    ----------
    offset : int
        Offset of the record that holds it; -1 if there is none.
    seen_ms : int
        When this VM saw it, on its own clock.
    """

    offset: int
    seen_ms: int


def is_snapshot_due(age: SnapshotAge, *, earliest: int, end: int, now_ms: int) -> bool:
    """Tell whether the state must be appended anew.

    Parameters
    ----------
    age : SnapshotAge
        The latest snapshot.
    earliest : int
        Offset of the oldest record that the log keeps.
    end : int
        Offset of the next append.
    now_ms : int
        This VM's clock in milliseconds.

    Returns
    -------
    bool
        True by time, since retention may take a quiet stream at once; by number
        of records, since they are replayed at start; and when the snapshot lies
        in the older half of what is kept.
    """
    if now_ms - age.seen_ms >= SNAPSHOT_PERIOD_MS:
        return True
    if end - age.offset > SNAPSHOT_RECORDS:
        return True
    return earliest > 0 and age.offset < (earliest + end) // 2
