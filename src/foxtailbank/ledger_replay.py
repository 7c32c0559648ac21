"""Feeds log records to the ledger and tells listeners what changed."""

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
        State to carry forward.
    """

    def __init__(self, *, ledger: Ledger) -> None:
        self.ledger = ledger
        self.malformed_count = 0
        self._listeners: list[Listener] = []
        self._replacement_listeners: list[ReplacementListener] = []

    def listen(self, listener: Listener) -> None:
        """Call a function with each record applied and what it changed.

        A copy of a record that was applied before causes no call.
        """
        self._listeners.append(listener)

    def listen_for_replacement(self, listener: ReplacementListener) -> None:
        """Call a function when the ledger was replaced by a snapshot's.

        What the records in between changed is seen by nobody: whoever keeps
        state of their own has to derive it from the ledger anew.
        """
        self._replacement_listeners.append(listener)

    def replace(self, ledger: Ledger) -> None:
        """Go on from the ledger of a snapshot.

        Parameters
        ----------
        ledger : Ledger
            Ignored if it is behind what was applied.
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
            This version cannot apply it; the ledger stays as it was.
        """
        try:
            envelope = decode(record.data)
        except MalformedRecord:
            self.malformed_count += 1
            self.ledger.skip(record.offset)
            return
        sequences = self.ledger.sequences_by_incarnation
        known = sequences.get(envelope.incarnation, 0)
        events = self.ledger.apply(record.offset, envelope)
        if envelope.sequence > known:
            for listener in self._listeners:
                listener(envelope, events)
