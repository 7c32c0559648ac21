"""Incremental parser of a batch job's input in JSON lines."""

import dataclasses
import typing as t

import msgspec
import xxhash

from foxtailbank.digest_set import DigestSet
from foxtailbank.exceptions import BodyTooLarge, InvalidRequest

MAX_CUSTOM_ID_BYTES = 256
MAX_LINE_BYTES = 256 * 1024
MAX_JOB_ITEMS = 500_000
MAX_CHUNK_ITEMS = 500
MAX_CHUNK_BYTES = 256 * 1024


class JobInputInvalid(InvalidRequest):
    """The job's input is malformed.

    Parameters
    ----------
    line : int
        Number of the offending line, counted from 1.
    detail : str
        Description of the error.
    """

    code = "invalid_job_input"

    def __init__(self, *, line: int, detail: str) -> None:
        super().__init__(detail=f"line {line}: {detail}")
        self.line = line


class InvalidUtf8(JobInputInvalid):
    """A line is not valid UTF-8."""

    code = "invalid_utf8"


class InvalidLine(JobInputInvalid):
    """A line is not a JSON object."""

    code = "invalid_line"


class InvalidCustomId(JobInputInvalid):
    """A line's `custom_id` is missing, not a string, empty or too long."""

    code = "invalid_custom_id"


class InvalidItemBody(JobInputInvalid):
    """A line's `body` is missing or not a JSON object."""

    code = "invalid_item_body"


class DuplicateCustomId(JobInputInvalid):
    """A line's `custom_id` was used by an earlier line."""

    code = "duplicate_custom_id"


class LineTooLong(JobInputInvalid, BodyTooLarge):
    """A line exceeds the size limit."""

    code = "line_too_long"


class TooManyItems(JobInputInvalid, BodyTooLarge):
    """The job exceeds the limit on items."""

    code = "too_many_items"


class EmptyJob(JobInputInvalid):
    """The job has no items."""

    code = "empty_job"


@dataclasses.dataclass(frozen=True, kw_only=True)
class InputChunk:
    """A run of consecutive items of a job.

    Attributes
    ----------
    first : int
        Index of the first item in the job.
    count : int
        Number of items.
    data : bytes
        Their lines, joined by line feeds.
    """

    first: int
    count: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class InputSummary:
    """Summary of an input that was read to its end.

    Attributes
    ----------
    item_count : int
        Number of items.
    digest : str
        Digest of all items in order; independent of how the input was split.
    repeated_digests : frozenset of int
        `custom_id` digests that occur for several items. Unless empty, the chunks
        must be checked with a `DuplicateCheck`.
    """

    item_count: int
    digest: str
    repeated_digests: frozenset[int]


_ABSENT = msgspec.Raw(b"")


class _Line(msgspec.Struct):
    custom_id: msgspec.Raw = _ABSENT
    body: msgspec.Raw = _ABSENT


_line_decoder = msgspec.json.Decoder(_Line)
_id_decoder = msgspec.json.Decoder(str)


class JobInputParser:
    """Parses and validates input incrementally and groups items into chunks.

    Blank lines are skipped. Memory use is bounded by one line, one chunk and eight
    bytes per item.

    Parameters
    ----------
    max_items : int
        Maximum number of items.
    max_line_bytes : int
        Maximum size of a line.
    max_chunk_items : int
        Maximum number of items in a chunk.
    max_chunk_bytes : int
        Maximum size of a chunk; an item that is larger gets a chunk of its own.
    """

    def __init__(
        self,
        *,
        max_items: int = MAX_JOB_ITEMS,
        max_line_bytes: int = MAX_LINE_BYTES,
        max_chunk_items: int = MAX_CHUNK_ITEMS,
        max_chunk_bytes: int = MAX_CHUNK_BYTES,
    ) -> None:
        self._max_items = max_items
        self._max_line_bytes = max_line_bytes
        self._max_chunk_items = max_chunk_items
        self._max_chunk_bytes = max_chunk_bytes
        self._unfinished_line = bytearray()
        self._line_number = 0
        self._item_count = 0
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._hash = xxhash.xxh3_128()
        self._id_digests = DigestSet()

    def feed(self, data: bytes) -> tuple[InputChunk, ...]:
        """Parse the next part of the input.

        Parameters
        ----------
        data : bytes
            Any number of bytes; lines may be split across calls.

        Returns
        -------
        tuple of InputChunk
            Chunks completed by this part.

        Raises
        ------
        JobInputInvalid
            A line is malformed or a limit is exceeded. The parser must not be used
            any further.
        """
        end = data.rfind(b"\n") + 1
        if not end:
            self._buffer_unfinished(data)
            return ()
        lines = (bytes(self._unfinished_line) + data[:end]).split(b"\n")
        lines.pop()
        self._unfinished_line.clear()
        chunks = [chunk for line in lines for chunk in self._add_line(line)]
        self._buffer_unfinished(data[end:])
        return tuple(chunks)

    def finish(self) -> tuple[tuple[InputChunk, ...], InputSummary]:
        """Parse the last line and return the remaining chunks.

        Returns
        -------
        chunks : tuple of InputChunk
            Remaining chunks.
        summary : InputSummary
            Summary of the whole input.

        Raises
        ------
        JobInputInvalid
            The last line is malformed, a limit is exceeded or there are no items.
        """
        chunks = list(self._add_line(bytes(self._unfinished_line)))
        self._unfinished_line.clear()
        if self._lines:
            chunks.append(self._flush_chunk())
        if not self._item_count:
            raise EmptyJob(line=self._line_number, detail="the job has no items")
        summary = InputSummary(
            item_count=self._item_count,
            digest=self._hash.hexdigest(),
            repeated_digests=self._id_digests.duplicates(),
        )
        return tuple(chunks), summary

    def _buffer_unfinished(self, data: bytes) -> None:
        self._unfinished_line += data
        if len(self._unfinished_line) > self._max_line_bytes:
            raise self._line_too_long(self._line_number + 1)

    def _add_line(self, line: bytes) -> t.Iterator[InputChunk]:
        self._line_number += 1
        line = line.strip(b" \t\r")
        if not line:
            return
        if len(line) > self._max_line_bytes:
            raise self._line_too_long(self._line_number)
        if self._item_count == self._max_items:
            raise TooManyItems(
                line=self._line_number, detail=f"more than {self._max_items} items"
            )
        custom_id = parse_custom_id(line, number=self._line_number)
        self._id_digests.add(_id_digest(custom_id))
        if self._lines and self._buffered_bytes + len(line) > self._max_chunk_bytes:
            yield self._flush_chunk()
        self._lines.append(line)
        self._buffered_bytes += len(line) + 1
        self._item_count += 1
        self._hash.update(line)
        self._hash.update(b"\n")
        if len(self._lines) == self._max_chunk_items:
            yield self._flush_chunk()

    def _flush_chunk(self) -> InputChunk:
        count = len(self._lines)
        data = b"\n".join(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        return InputChunk(first=self._item_count - count, count=count, data=data)

    def _line_too_long(self, line: int) -> LineTooLong:
        return LineTooLong(line=line, detail=f"more than {self._max_line_bytes} bytes")


class DuplicateCheck:
    """Finds true duplicates among `custom_id` values that share a digest.

    Parameters
    ----------
    repeated_digests : frozenset of int
        `custom_id` digests that occur for several items.
    """

    def __init__(self, *, repeated_digests: frozenset[int]) -> None:
        self._repeated_digests = repeated_digests
        self._seen: set[str] = set()

    def feed(self, chunk: InputChunk) -> None:
        """Check the next chunk.

        Raises
        ------
        DuplicateCustomId
            A `custom_id` occurs again. `line` counts items: chunks do not hold the
            blank lines of the input.
        """
        for number, line in enumerate(chunk.data.split(b"\n"), chunk.first + 1):
            custom_id = parse_custom_id(line, number=number)
            if _id_digest(custom_id) not in self._repeated_digests:
                continue
            if custom_id in self._seen:
                raise DuplicateCustomId(
                    line=number, detail=f"{custom_id!r} is used more than once"
                )
            self._seen.add(custom_id)


def parse_custom_id(line: bytes, *, number: int) -> str:
    """Validate one line and return its `custom_id`.

    Parameters
    ----------
    line : bytes
        A line without its line feed.
    number : int
        Line number for error messages.

    Raises
    ------
    JobInputInvalid
        The line is malformed.
    """
    if not line.isascii():
        _require_utf8(line, number)
    try:
        item = _line_decoder.decode(line)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidLine(line=number, detail=str(error)) from error
    if not bytes(item.body).startswith(b"{"):
        raise InvalidItemBody(line=number, detail="body must be an object")
    return _decode_custom_id(item.custom_id, number)


def _require_utf8(line: bytes, number: int) -> None:
    try:
        line.decode()
    except UnicodeDecodeError as error:
        raise InvalidUtf8(line=number, detail=str(error)) from error


def _decode_custom_id(raw: msgspec.Raw, number: int) -> str:
    try:
        custom_id = _id_decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidCustomId(line=number, detail=str(error)) from error
    if not 0 < len(custom_id.encode()) <= MAX_CUSTOM_ID_BYTES:
        raise InvalidCustomId(
            line=number, detail=f"custom_id must have 1 to {MAX_CUSTOM_ID_BYTES} bytes"
        )
    return custom_id


def _id_digest(custom_id: str) -> int:
    return xxhash.xxh3_64_intdigest(custom_id.encode())
