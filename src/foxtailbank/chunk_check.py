"""Checks what entries say of payload before it becomes state."""

from foxtailbank.ledger_events import IgnoreReason
from foxtailbank.records import JobAccepted

MAX_CHUNK_ITEMS = 4096
MAX_JOB_ITEMS = (1 << 31) - 1
MAX_PAYLOAD_OFFSET = (1 << 62) - 1


class PayloadFloor:
    """Offset of the payload stream before which new references are refused.

    Parameters
    ----------
    before_offset : int
        Where it stands.
    """

    def __init__(self, *, before_offset: int = 0) -> None:
        self.before_offset = before_offset

    def refusal(self, offset: int) -> IgnoreReason | None:
        """Return why an entry must not refer to an offset, if it must not."""
        if not 0 <= offset <= MAX_PAYLOAD_OFFSET:
            return IgnoreReason.OUT_OF_RANGE
        if offset < self.before_offset:
            return IgnoreReason.PAYLOAD_EXPIRED
        return None

    def raise_to(self, before_offset: int) -> bool:
        """Move up; return whether that changed anything."""
        if not self.before_offset < before_offset <= MAX_PAYLOAD_OFFSET:
            return False
        self.before_offset = before_offset
        return True


def chunks_refusal(accepted: JobAccepted, floor: PayloadFloor) -> IgnoreReason | None:
    """Return why a job's chunks cannot be accepted, if they cannot.

    They have to cover the job's items without gap or overlap.
    """
    first = 0
    for chunk in accepted.chunks:
        if chunk.first != first or not 0 < chunk.count <= MAX_CHUNK_ITEMS:
            return IgnoreReason.OUT_OF_RANGE
        refusal = floor.refusal(chunk.payload_offset)
        if refusal is not None:
            return refusal
        first += chunk.count
    if 0 < first == accepted.item_count <= MAX_JOB_ITEMS:
        return None
    return IgnoreReason.OUT_OF_RANGE
