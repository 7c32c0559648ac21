"""State of non-idempotent calls with an idempotency key, replayed from the ledger."""

import dataclasses

from foxtailbank.ledger_events import (
    CallClaimLost,
    CallClaimWon,
    CallConflict,
    CallDone,
    CallMovedEvent,
    CallReleasedEvent,
    EntryIgnored,
    IgnoreReason,
    LedgerEvent,
)
from foxtailbank.records import (
    CallClaimed,
    CallCompleted,
    CallPayloadMoved,
    CallReleased,
)

NO_PAYLOAD = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallState:
    """One keyed call.

    Attributes
    ----------
    digest : str
        Digest of the call's content.
    claimant : str
        Incarnation of the VM that holds the claim, the only one that may dispatch the
        call; empty once released.
    claimed_offset : int
        Offset of the record of the claim.
    at_ms : int
        Wall-clock time of the claim, in milliseconds.
    status : int
        HTTP status of the recorded response; 0 while there is none.
    payload_offset : int
        Offset of the payload record with the response, or `NO_PAYLOAD`.
    """

    digest: str
    claimant: str
    claimed_offset: int
    at_ms: int
    status: int = 0
    payload_offset: int = NO_PAYLOAD

    @property
    def completed(self) -> bool:
        """Whether the response is recorded."""
        return self.payload_offset != NO_PAYLOAD


class CallTable:
    """Keyed calls by owner and key."""

    def __init__(self) -> None:
        self.calls_by_key: dict[tuple[str, str], CallState] = {}

    def claim(self, index: int, offset: int, entry: CallClaimed) -> LedgerEvent:
        """Grant the call to the first claimant."""
        key = (entry.owner, entry.key)
        call = self.calls_by_key.get(key)
        if call is None or not call.claimant:
            return self._claim_available(index, offset, entry, call)
        if call.digest != entry.digest:
            return _conflict(index, entry)
        return CallClaimLost(
            index=index,
            owner=entry.owner,
            key=entry.key,
            claimant=entry.claimant,
            holder=call.claimant,
            completed=call.completed,
        )

    def release(self, index: int, entry: CallReleased) -> LedgerEvent:
        """Allow the call to be claimed again."""
        call = self._open_call(entry)
        if isinstance(call, IgnoreReason):
            return EntryIgnored(index=index, reason=call)
        self.calls_by_key[entry.owner, entry.key] = dataclasses.replace(
            call, claimant=""
        )
        return CallReleasedEvent(index=index, owner=entry.owner, key=entry.key)

    def complete(self, index: int, entry: CallCompleted) -> LedgerEvent:
        """Record the response."""
        call = self._open_call(entry)
        if isinstance(call, IgnoreReason):
            return EntryIgnored(index=index, reason=call)
        self.calls_by_key[entry.owner, entry.key] = dataclasses.replace(
            call, status=entry.status, payload_offset=entry.payload_offset
        )
        return CallDone(
            index=index,
            owner=entry.owner,
            key=entry.key,
            status=entry.status,
            payload_offset=entry.payload_offset,
        )

    def move_payload(self, index: int, entry: CallPayloadMoved) -> LedgerEvent:
        """Update the offset of a response that was appended anew."""
        key = (entry.owner, entry.key)
        call = self.calls_by_key.get(key)
        if call is None:
            return EntryIgnored(index=index, reason=IgnoreReason.UNKNOWN_CALL)
        if not call.completed or call.payload_offset != entry.from_offset:
            return EntryIgnored(index=index, reason=IgnoreReason.NOTHING_NEW)
        self.calls_by_key[key] = dataclasses.replace(
            call, payload_offset=entry.to_offset
        )
        return CallMovedEvent(
            index=index,
            owner=entry.owner,
            key=entry.key,
            payload_offset=entry.to_offset,
        )

    def forget(self, before_offset: int) -> int:
        """Drop calls claimed before an offset; return their number."""
        expired = [
            key
            for key, call in self.calls_by_key.items()
            if call.claimed_offset < before_offset
        ]
        for key in expired:
            del self.calls_by_key[key]
        return len(expired)

    def _open_call(
        self, entry: CallReleased | CallCompleted
    ) -> CallState | IgnoreReason:
        """Return the incomplete call that the entry's claimant holds."""
        call = self.calls_by_key.get((entry.owner, entry.key))
        if call is None:
            return IgnoreReason.UNKNOWN_CALL
        if call.completed:
            return IgnoreReason.CALL_COMPLETED
        if not entry.claimant or call.claimant != entry.claimant:
            return IgnoreReason.NOT_CLAIMANT
        return call

    def _claim_available(
        self, index: int, offset: int, entry: CallClaimed, call: CallState | None
    ) -> LedgerEvent:
        if call is not None and call.digest != entry.digest:
            return _conflict(index, entry)
        self.calls_by_key[entry.owner, entry.key] = CallState(
            digest=entry.digest,
            claimant=entry.claimant,
            claimed_offset=offset,
            at_ms=entry.at_ms,
        )
        return CallClaimWon(
            index=index, owner=entry.owner, key=entry.key, claimant=entry.claimant
        )


def _conflict(index: int, entry: CallClaimed) -> CallConflict:
    return CallConflict(
        index=index, owner=entry.owner, key=entry.key, claimant=entry.claimant
    )
