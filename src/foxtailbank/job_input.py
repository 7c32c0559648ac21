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
CHUNK_ITEMS = 500
CHUNK_BYTES = 256 * 1024


class JobInputInvalid(InvalidRequest):
    """The job's input is malformed.

    Parameters
    ----------
    line : int
        Number of the offending line, counted from 1.
    detail : str
        What is wrong with it.
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
    """A line's `custom_id` was used by a line before it."""

    code = "duplicate_custom_id"


class LineTooLong(JobInputInvalid, BodyTooLarge):
    """A line exceeds the bound on its size."""

    code = "line_too_long"


class TooManyItems(JobInputInvalid, BodyTooLarge):
    """The job has more items than a job may have."""

    code = "too_many_items"


class EmptyJob(JobInputInvalid):
    """The job has no items."""

    code = "empty_job"


@dataclasses.dataclass(frozen=True, kw_only=True)
class InputChunk:
    """Consecutive items of a job.

    Attributes
    ----------
    first : int
        Position in the job of the first item.
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
    """What is known once the whole input was read.

    Attributes
    ----------
    item_count : int
        Number of items.
    digest : str
        Digest of all items in order, however the input was split.
    suspects : frozenset of int
        Digests of `custom_id` that came up more than once; unless empty, the
        chunks have to pass a `DuplicateCheck`.
    """

    item_count: int
    digest: str
    suspects: frozenset[int]


_ABSENT = msgspec.Raw(b"")


class _Line(msgspec.Struct):
    custom_id: msgspec.Raw = _ABSENT
    body: msgspec.Raw = _ABSENT


_line_decoder = msgspec.json.Decoder(_Line)
_id_decoder = msgspec.json.Decoder(str)


class JobInputParser:
    """Turns bytes in arbitrary pieces into chunks of checked items.

    Blank lines are left out. Memory is bounded by a line, a chunk and eight
    bytes an item.

    Parameters
    ----------
    max_items : int
        Bound on the number of items.
    max_line_bytes : int
        Bound on the size of one line.
    chunk_items : int
        Bound on the items of a chunk.
    chunk_bytes : int
        Size beyond which a chunk takes no further item.
    """

    def __init__(
        self,
        *,
        max_items: int = MAX_JOB_ITEMS,
        max_line_bytes: int = MAX_LINE_BYTES,
        chunk_items: int = CHUNK_ITEMS,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self._max_items = max_items
        self._max_line_bytes = max_line_bytes
        self._chunk_items = chunk_items
        self._chunk_bytes = chunk_bytes
        self._rest = bytearray()
        self._line = 0
        self._item_count = 0
        self._lines: list[bytes] = []
        self._lines_bytes = 0
        self._hash = xxhash.xxh3_128()
        self._ids = DigestSet()

    def feed(self, data: bytes) -> tuple[InputChunk, ...]:
        """Take the next piece of the input.

        Parameters
        ----------
        data : bytes
            Any number of bytes.

        Returns
        -------
        tuple of InputChunk
            Chunks that are complete now.

        Raises
        ------
        JobInputInvalid
            A line is malformed; the parser is of no further use.
        """
        end = data.rfind(b"\n") + 1
        if not end:
            self._keep(data)
            return ()
        lines = (bytes(self._rest) + data[:end]).split(b"\n")
        lines.pop()
        self._rest.clear()
        chunks = [chunk for line in lines for chunk in self._take_line(line)]
        self._keep(data[end:])
        return tuple(chunks)

    def finish(self) -> tuple[tuple[InputChunk, ...], InputSummary]:
        """Take the end of the input.

        Returns
        -------
        chunks : tuple of InputChunk
            The last chunks.
        summary : InputSummary
            What is known of the whole input.

        Raises
        ------
        JobInputInvalid
            The last line is malformed or there are no items.
        """
        chunks = list(self._take_line(bytes(self._rest)))
        self._rest.clear()
        if self._lines:
            chunks.append(self._cut_chunk())
        if not self._item_count:
            raise EmptyJob(line=self._line, detail="the job has no items")
        summary = InputSummary(
            item_count=self._item_count,
            digest=self._hash.hexdigest(),
            suspects=self._ids.repeated(),
        )
        return tuple(chunks), summary

    def _keep(self, data: bytes) -> None:
        self._rest += data
        if len(self._rest) > self._max_line_bytes:
            raise self._too_long(self._line + 1)

    def _take_line(self, line: bytes) -> t.Iterator[InputChunk]:
        self._line += 1
        line = line.strip(b" \t\r")
        if not line:
            return
        if len(line) > self._max_line_bytes:
            raise self._too_long(self._line)
        if self._item_count == self._max_items:
            raise TooManyItems(
                line=self._line, detail=f"more than {self._max_items} items"
            )
        custom_id = parse_item(line, number=self._line)
        self._ids.add(_id_digest(custom_id))
        if self._lines and self._lines_bytes + len(line) > self._chunk_bytes:
            yield self._cut_chunk()
        self._lines.append(line)
        self._lines_bytes += len(line) + 1
        self._item_count += 1
        self._hash.update(line)
        self._hash.update(b"\n")
        if len(self._lines) == self._chunk_items:
            yield self._cut_chunk()

    def _cut_chunk(self) -> InputChunk:
        count = len(self._lines)
        data = b"\n".join(self._lines)
        self._lines.clear()
        self._lines_bytes = 0
        return InputChunk(first=self._item_count - count, count=count, data=data)

    def _too_long(self, line: int) -> LineTooLong:
        return LineTooLong(line=line, detail=f"more than {self._max_line_bytes} bytes")


class DuplicateCheck:
    """Tells true duplicates of `custom_id` from equal digests.

    Parameters
    ----------
    suspects : frozenset of int
        Digests to look at.
    """

    def __init__(self, *, suspects: frozenset[int]) -> None:
        self._suspects = suspects
        self._seen: set[str] = set()

    def feed(self, chunk: InputChunk) -> None:
        """Look at the next chunk.

        Raises
        ------
        DuplicateCustomId
            Its `line` counts items, as blank lines are not part of chunks.
        """
        for number, line in enumerate(chunk.data.split(b"\n"), chunk.first + 1):
            custom_id = parse_item(line, number=number)
            if _id_digest(custom_id) not in self._suspects:
                continue
            if custom_id in self._seen:
                raise DuplicateCustomId(line=number, detail=f"{custom_id!r} again")
            self._seen.add(custom_id)


def parse_item(line: bytes, *, number: int) -> str:
    """Check one line and return its `custom_id`.

    Parameters
    ----------
    line : bytes
        A line without its line feed.
    number : int
        Number to name in errors.

    Raises
    ------
    JobInputInvalid
        The line is malformed.
    """
    if not line.isascii():
        _check_utf8(line, number)
    try:
        item = _line_decoder.decode(line)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidLine(line=number, detail=str(error)) from error
    if not bytes(item.body).startswith(b"{"):
        raise InvalidItemBody(line=number, detail="body must be an object")
    return _decode_custom_id(item.custom_id, number)


def _check_utf8(line: bytes, number: int) -> None:
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
