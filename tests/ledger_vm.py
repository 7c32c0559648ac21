"""A VM that replays the ledger and appends to it."""

import collections

from foxtailbank import ledger_events as ev
from foxtailbank import records
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.ledger_resync import LedgerResync, LogSnapshotSource
from ledger_entries import complete, release

LEDGER = "ledger"


class Vm:
    """A VM: its replay and a writer with one append in flight."""

    def __init__(self, incarnation, store):
        self.incarnation = incarnation
        self.replay = LedgerReplay(ledger=Ledger())
        self.replay.add_listener(self._on_record)
        self.resync = LedgerResync(
            replay=self.replay, sources=[LogSnapshotSource(store=store)]
        )
        self.queue = collections.deque()
        self.sequence = 0
        self.in_flight = None
        self.image = None
        self.dispatched = []

    @property
    def next_offset(self):
        return self.replay.ledger.next_offset

    def record(self, size):
        """Return the record in flight, creating one if there is none."""
        if self.in_flight is None:
            entries = [self.queue.popleft() for _ in range(size) if self.queue]
            self.sequence += 1
            self.in_flight = records.encode(
                records.Envelope(
                    schema=records.SCHEMA,
                    incarnation=self.incarnation,
                    sequence=self.sequence,
                    entries=tuple(entries),
                )
            )
        return self.in_flight

    def _on_record(self, envelope, events):
        if envelope.incarnation != self.incarnation:
            return
        if envelope.sequence == self.sequence:
            self.in_flight = None
        for event in events:
            if isinstance(event, ev.CallClaimWon):
                self._on_call_claimed(event)
            if isinstance(event, ev.ItemsClaimWon):
                self._on_items_claimed(event)

    def _on_call_claimed(self, event):
        """Either release the call unrun, or dispatch it and maybe record completion."""
        outcome = self.next_offset % 3
        if outcome == 0:
            self.queue.append(release(self.incarnation, key=event.key))
            return
        self.dispatched.append(("call", event.key))
        if outcome == 1:
            self.queue.append(
                complete(self.incarnation, event.key, at=self.next_offset + 95)
            )
            self.queue.append(
                complete(self.incarnation, event.key, at=self.next_offset + 900)
            )

    def _on_items_claimed(self, event):
        """Either release the items unrun, or dispatch them and maybe record results."""
        if self.next_offset % 3 == 0:
            self.queue.append(
                records.ItemsReleased(
                    job_id=event.job_id,
                    chunk=event.chunk,
                    items=event.items,
                    claimant=self.incarnation,
                )
            )
            return
        for item_range in event.items:
            for position in range(
                item_range.first, item_range.first + item_range.count
            ):
                self.dispatched.append((event.job_id, event.chunk, position))
        if self.next_offset % 2:
            self.queue.append(
                records.ChunkResults(
                    job_id=event.job_id,
                    chunk=event.chunk,
                    items=event.items,
                    payload_offset=95 + self.next_offset,
                    claimant=self.incarnation,
                )
            )
