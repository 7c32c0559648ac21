"""Feeds log records to the ledger and tells listeners what changed."""

import typing as t

from foxtailbank.ledger import Ledger
from foxtailbank.ledger_events import LedgerEvent
from foxtailbank.log_service import LogRecord
from foxtailbank.records import Envelope, MalformedRecord, decode

Listener: t.TypeAlias = t.Callable[[Envelope, tuple[LedgerEvent, ...]], None]


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

    def listen(self, listener: Listener) -> None:
        """Call a function with each record applied and what it changed.

        A copy of a record that was applied before causes no call.
        """
        self._listeners.append(listener)

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
