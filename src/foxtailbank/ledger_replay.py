"""Applies log records to the ledger and notifies listeners of changes."""

import typing as t

from foxtailbank.ledger import Ledger
from foxtailbank.ledger_events import LedgerEvent
from foxtailbank.log_service import LogRecord
from foxtailbank.records import Envelope, MalformedRecord, decode

Listener: t.TypeAlias = t.Callable[[Envelope, tuple[LedgerEvent, ...]], None]
ReplacementListener: t.TypeAlias = t.Callable[[Ledger], None]


class LedgerReplay:
    """Applies the records of the ledger stream.

    Parameters
    ----------
    ledger : Ledger
        Initial state.
    """

    def __init__(self, *, ledger: Ledger) -> None:
        self.ledger = ledger
        self.malformed_count = 0
        self._listeners: list[Listener] = []
        self._replacement_listeners: list[ReplacementListener] = []

    def add_listener(self, listener: Listener) -> None:
        """Register a callback for each applied record and its events.

        It is not called for duplicates of a record that was already applied.
        """
        self._listeners.append(listener)

    def add_replacement_listener(self, listener: ReplacementListener) -> None:
        """Register a callback for the replacement of the ledger by a snapshot.

        Listeners receive no events for the skipped records, so they must rebuild
        any derived state from the new ledger.
        """
        self._replacement_listeners.append(listener)

    def replace(self, ledger: Ledger) -> None:
        """Continue from the ledger of a snapshot.

        Parameters
        ----------
        ledger : Ledger
            Ignored if it is behind the current ledger.
        """
        if ledger.next_offset < self.ledger.next_offset:
            return
        self.ledger = ledger
        for listener in self._replacement_listeners:
            listener(ledger)

    def apply(self, record: LogRecord) -> None:
        """Apply one record.

        Parameters
        ----------
        record : LogRecord
            Next record of the stream.

        Raises
        ------
        UnsupportedRecord
            This version cannot apply the record; the ledger is unchanged.
        """
        try:
            envelope = decode(record.data)
        except MalformedRecord:
            self.malformed_count += 1
            self.ledger.skip(record.offset)
            return
        sequences = self.ledger.sequences_by_incarnation
        last_sequence = sequences.get(envelope.incarnation, 0)
        events = self.ledger.apply(record.offset, envelope)
        if envelope.sequence > last_sequence:
            for listener in self._listeners:
                listener(envelope, events)
