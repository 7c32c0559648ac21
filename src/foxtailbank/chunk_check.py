"""Validates the payload references of ledger entries before they are applied."""

from foxtailbank.ledger_events import IgnoreReason
from foxtailbank.records import JobAccepted

MAX_CHUNK_ITEMS = 4096
MAX_JOB_ITEMS = (1 << 31) - 1
MAX_PAYLOAD_OFFSET = (1 << 62) - 1


class PayloadFloor:
    """Lowest offset of the payload stream that new entries may refer to.

    Parameters
    ----------
    before_offset : int
        Initial floor; references to lower offsets are refused.
    """

    def __init__(self, *, before_offset: int = 0) -> None:
        self.before_offset = before_offset

    def check_offset(self, offset: int) -> IgnoreReason | None:
        """Return why a reference to an offset is refused, or None if it is valid."""
        if not 0 <= offset <= MAX_PAYLOAD_OFFSET:
            return IgnoreReason.OUT_OF_RANGE
        if offset < self.before_offset:
            return IgnoreReason.PAYLOAD_EXPIRED
        return None

    def raise_to(self, before_offset: int) -> bool:
        """Raise the floor if the offset is valid and higher; return whether it was."""
        if not self.before_offset < before_offset <= MAX_PAYLOAD_OFFSET:
            return False
        self.before_offset = before_offset
        return True


def check_chunks(accepted: JobAccepted, floor: PayloadFloor) -> IgnoreReason | None:
    """Return why a job's chunks are refused, or None if they are valid.

    Chunks have to cover the job's items without gaps or overlaps.
    """
    first = 0
    for chunk in accepted.chunks:
        if chunk.first != first or not 0 < chunk.count <= MAX_CHUNK_ITEMS:
            return IgnoreReason.OUT_OF_RANGE
        refusal = floor.check_offset(chunk.payload_offset)
        if refusal is not None:
            return refusal
        first += chunk.count
    if 0 < first == accepted.item_count <= MAX_JOB_ITEMS:
        return None
    return IgnoreReason.OUT_OF_RANGE
