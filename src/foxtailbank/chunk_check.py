"""Checks what entries say of chunks before it becomes state."""

from foxtailbank.records import JobAccepted

MAX_CHUNK_ITEMS = 4096
MAX_JOB_ITEMS = (1 << 31) - 1
MAX_PAYLOAD_OFFSET = (1 << 62) - 1


def has_valid_chunks(accepted: JobAccepted) -> bool:
    """Return whether a job's chunks cover its items without gap or overlap."""
    first = 0
    for chunk in accepted.chunks:
        if chunk.first != first or not 0 < chunk.count <= MAX_CHUNK_ITEMS:
            return False
        if not is_payload_offset(chunk.payload_offset):
            return False
        first += chunk.count
    return 0 < first == accepted.item_count <= MAX_JOB_ITEMS


def is_payload_offset(offset: int) -> bool:
    """Return whether a number can be an offset of the payload stream."""
    return 0 <= offset <= MAX_PAYLOAD_OFFSET
