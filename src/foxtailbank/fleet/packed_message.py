"""Check of packed Cap'n Proto messages before the library reads them.

The library trusts the sizes that a message claims, and ends the process if a packed
message is truncated. Only messages that are whole are passed on to it.
"""

from foxtailbank.exceptions import FrameInvalid

MAX_WORDS = 65_536  # half a megabyte, above any report
MAX_SEGMENTS = 16
WORD_BYTES = 8
_ZERO_TAG = 0x00  # followed by a count of further words that are zero
_FULL_TAG = 0xFF  # followed by a word, a count, and that many unpacked words
_COUNTED_TAGS = (_ZERO_TAG, _FULL_TAG)
_PACKED_BYTES_BY_TAG = tuple(tag.bit_count() for tag in range(256))


def check_packed(data: bytes) -> int:
    """Check that a packed message is whole and return its size in words.

    Parameters
    ----------
    data : bytes
        Packed message.

    Raises
    ------
    FrameInvalid
        It is truncated, too large, or has another size than it claims.
    """
    word_count = _count_words(data)
    claimed_count = _claimed_words(data)
    if word_count != claimed_count:
        raise FrameInvalid(
            detail=f"{word_count} words in a message that claims {claimed_count}"
        )
    return word_count


def _count_words(data: bytes) -> int:
    """Return the size of a message without unpacking it."""
    size = len(data)
    position = 0
    words = 0
    while position < size:
        tag = data[position]
        position += 1 + _PACKED_BYTES_BY_TAG[tag]
        words += 1
        if tag in _COUNTED_TAGS:
            if position >= size:
                break
            count = data[position]
            position += 1 + (count * WORD_BYTES if tag == _FULL_TAG else 0)
            words += count
    else:
        if position == size and words <= MAX_WORDS:
            return words
    raise FrameInvalid(detail=f"packed message of {size} bytes is truncated or too big")


def _claimed_words(data: bytes) -> int:
    """Return the size of a message by its table of segments."""
    first = _unpack_head(data, 1)
    segment_count = _number(first, 0) + 1
    if segment_count > MAX_SEGMENTS:
        raise FrameInvalid(detail=f"message of {segment_count} segments")
    head_words = segment_count // 2 + 1
    head = first if head_words == 1 else _unpack_head(data, head_words)
    sizes = [_number(head, 4 * number) for number in range(1, segment_count + 1)]
    return head_words + sum(sizes)


def _unpack_head(data: bytes, word_count: int) -> bytes:
    """Unpack the first words of a message whose packing is valid."""
    words = bytearray()
    position = 0
    while len(words) < word_count * WORD_BYTES:
        if position >= len(data):
            raise FrameInvalid(detail="message without a table of segments")
        tag = data[position]
        position += 1
        for bit in range(WORD_BYTES):
            is_present = tag >> bit & 1
            words.append(data[position] if is_present else 0)
            position += is_present
        if tag == _ZERO_TAG:
            words += bytes(data[position] * WORD_BYTES)
            position += 1
        elif tag == _FULL_TAG:
            end = position + 1 + data[position] * WORD_BYTES
            words += data[position + 1 : end]
            position = end
    return bytes(words[: word_count * WORD_BYTES])


def _number(data: bytes, position: int) -> int:
    return int.from_bytes(data[position : position + 4], "little")
