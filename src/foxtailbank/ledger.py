"""Deterministic state machine driven by the ledger stream."""

import typing as t

from foxtailbank.call_state import CallTable
from foxtailbank.chunk_check import PayloadFloor
from foxtailbank.fence import Fence
from foxtailbank.job_state import (
    JobState,
)
from foxtailbank.job_table import JobTable
from foxtailbank.ledger_events import (
    EntryIgnored,
    FenceGranted,
    HistoryForgotten,
    IgnoreReason,
    LedgerEvent,
    PayloadFloorMoved,
    SnapshotWritten,
)
from foxtailbank.records import (
    CallClaimed,
    CallCompleted,
    CallPayloadMoved,
    CallReleased,
    ChunkResults,
    ClaimsAbandoned,
    Entry,
    Envelope,
    FenceTaken,
    HistoryExpired,
    ItemsClaimed,
    ItemsReleased,
    JobAccepted,
    JobCancelled,
    JobRetired,
    ManifestMoved,
    PayloadFloorRaised,
    PayloadMoved,
    Snapshot,
)
from foxtailbank.retired_job import RetiredJob

MAX_INCARNATIONS = 4096

Events: t.TypeAlias = tuple[LedgerEvent, ...]


class Ledger:
    """State derived only from the records of the ledger stream.

    All VMs that applied the same records hold the same state.

    Attributes
    ----------
    next_offset : int
        Offset after the last applied record; never decreases.
    payload_floor : PayloadFloor
        Lowest payload offset that new entries may reference.
    jobs : JobTable
        Batch jobs.
    calls : CallTable
        Calls with an idempotency key.
    fences_by_scope : dict of str to Fence
        Current fence holder of each scope.
    snapshot : Snapshot or None
        Recorded snapshot with the highest covered offset.
    sequences_by_incarnation : dict of str to int
        Last applied sequence, least recently seen incarnation first. Used to drop
        duplicate records.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.payload_floor = PayloadFloor()
        self.jobs = JobTable(floor=self.payload_floor)
        self.calls = CallTable()
        self.fences_by_scope: dict[str, Fence] = {}
        self.snapshot: Snapshot | None = None
        self.sequences_by_incarnation: dict[str, int] = {}

    def apply(self, offset: int, envelope: Envelope) -> Events:
        """Apply one record.

        Parameters
        ----------
        offset : int
            Offset of the record.
        envelope : Envelope
            Content of the record.

        Returns
        -------
        tuple of LedgerEvent
            Resulting changes; empty for a duplicate record.
        """
        if offset < self.next_offset:
            return ()
        self.next_offset = offset + 1
        if self._is_duplicate(envelope):
            return ()
        events: list[LedgerEvent] = []
        for index, entry in enumerate(envelope.entries):
            events.extend(self._apply_entry(index, offset, entry))
        return tuple(events)

    @property
    def jobs_by_id(self) -> dict[str, JobState]:
        """Jobs that have not been retired."""
        return self.jobs.jobs_by_id

    @property
    def retired_by_id(self) -> dict[str, RetiredJob]:
        """Retired jobs whose history has not expired."""
        return self.jobs.retired_by_id

    def skip(self, offset: int) -> None:
        """Advance past a record without a readable envelope."""
        self.next_offset = max(self.next_offset, offset + 1)

    def job_id_for_key(self, owner: str, key: str) -> str | None:
        """Return the ID of the job accepted under an owner's idempotency key."""
        return self.jobs.job_ids_by_key.get((owner, key))

    def _is_duplicate(self, envelope: Envelope) -> bool:
        sequences = self.sequences_by_incarnation
        last = sequences.pop(envelope.incarnation, 0)
        sequences[envelope.incarnation] = max(last, envelope.sequence)
        if len(sequences) > MAX_INCARNATIONS:
            del sequences[next(iter(sequences))]
        return envelope.sequence <= last

    def _apply_entry(self, index: int, offset: int, entry: Entry) -> Events:
        match entry:
            case ChunkResults():
                return self.jobs.apply_results(index, entry)
            case ItemsClaimed():
                return (self.jobs.claim(index, entry),)
            case ItemsReleased():
                return (self.jobs.release(index, entry),)
            case ClaimsAbandoned():
                return self.jobs.abandon(index, entry)
            case JobAccepted():
                return (self.jobs.accept(index, offset, entry),)
            case JobCancelled():
                return (self.jobs.cancel(index, entry),)
            case JobRetired():
                return (self.jobs.retire(index, entry),)
            case PayloadMoved():
                return (self.jobs.move_payloads(index, entry),)
            case ManifestMoved():
                return (self.jobs.move_manifest(index, entry),)
            case CallClaimed():
                return (self.calls.claim(index, offset, entry),)
            case CallReleased():
                return (self.calls.release(index, entry),)
            case CallCompleted():
                return (self._complete_call(index, entry),)
            case CallPayloadMoved():
                return (self._move_call_payload(index, entry),)
            case FenceTaken():
                return (self._grant_fence(index, offset, entry),)
            case HistoryExpired():
                return (self._expire_history(index, entry),)
            case PayloadFloorRaised():
                return (self._raise_payload_floor(index, entry),)
            case Snapshot():
                return (self._record_snapshot(index, offset, entry),)
        raise AssertionError(entry)

    def _complete_call(self, index: int, entry: CallCompleted) -> LedgerEvent:
        refusal = self.payload_floor.check_offset(entry.payload_offset)
        if refusal is not None:
            return EntryIgnored(index=index, reason=refusal)
        return self.calls.complete(index, entry)

    def _move_call_payload(self, index: int, entry: CallPayloadMoved) -> LedgerEvent:
        refusal = self.payload_floor.check_offset(entry.to_offset)
        if refusal is not None:
            return EntryIgnored(index=index, reason=refusal)
        return self.calls.move_payload(index, entry)

    def _grant_fence(self, index: int, offset: int, entry: FenceTaken) -> LedgerEvent:
        previous = self.fences_by_scope.get(entry.scope)
        # Based on the offset so that numbers keep growing if the state is ever reset.
        number = max(previous.number if previous else 0, offset) + 1
        self.fences_by_scope[entry.scope] = Fence(
            holder=entry.holder, number=number, lease_ms=entry.lease_ms
        )
        return FenceGranted(
            index=index,
            scope=entry.scope,
            holder=entry.holder,
            number=number,
            lease_ms=entry.lease_ms,
            previous_holder=previous.holder if previous else "",
            previous_lease_ms=previous.lease_ms if previous else 0,
        )

    def _expire_history(self, index: int, entry: HistoryExpired) -> LedgerEvent:
        return HistoryForgotten(
            index=index,
            call_count=self.calls.forget(entry.before_offset),
            job_count=self.jobs.forget_retired(entry.before_offset),
        )

    def _raise_payload_floor(
        self, index: int, entry: PayloadFloorRaised
    ) -> LedgerEvent:
        if not self.payload_floor.raise_to(entry.before_offset):
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        return PayloadFloorMoved(index=index, before_offset=entry.before_offset)

    def _record_snapshot(self, index: int, offset: int, entry: Snapshot) -> LedgerEvent:
        if not 0 <= entry.covers_offset < offset:
            return EntryIgnored(index=index, reason=IgnoreReason.OUT_OF_RANGE)
        if self.snapshot and self.snapshot.covers_offset >= entry.covers_offset:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        self.snapshot = entry
        return SnapshotWritten(index=index, covers_offset=entry.covers_offset)
