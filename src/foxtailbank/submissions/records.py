"""Records of the submission log.

A key is written once and then only to drop it, so the newest record of each key is
the complete history and gives every VM the same state in the same order. There are two
exceptions. Each record of an item's progress replaces the one before, as it only
determines where the item resumes; the key is dropped with the item's end.
`RefusedAttempt` replaces a `Submitted` that was refused, as a replay could accept it
once the submissions before it are dropped.
"""

import typing as t

import msgspec
import xxhash

from foxtailbank.decoding import decoding
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.submissions.scoped_id import SEPARATOR

SUBMITTED_KIND = "submitted"
TEXT_KIND = "text"  # of keys in the log of texts
PROGRESS_KIND = "progress"
PART_KIND = "part"
MAX_SEGMENT_BYTES = 64  # two of them and a process fit into a key
_DIGEST_MARK = "#"
_NOT_IN_SEGMENT = frozenset(("/", SEPARATOR))


class RecordUnreadable(FoxtailbankError):
    """The bytes of a record do not decode to any known record type."""

    code = "record_unreadable"


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a submission, or a piece of one that is too large for a record.

    The pieces of a request follow each other and have its id. The first has all its
    fields and the begin of its body, the others only more of the body.

    Attributes
    ----------
    item_id : str
        Unique within the submission.
    target : str
        Request path.
    headers : tuple of (str, str)
        Request headers.
    body : bytes
        Request body.
    tokens : int
        Sum of prompt and output tokens.
    """

    item_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class Part(msgspec.Struct, frozen=True, kw_only=True, tag=PART_KIND):
    """Some of the items of a submission that is too large for one record."""

    submission_id: str
    attempt: str
    items: tuple[Item, ...]


class Submitted(msgspec.Struct, frozen=True, kw_only=True, tag=SUBMITTED_KIND):
    """A submission arrived.

    It is accepted if the entry's token limit allows it when this record is applied.

    Attributes
    ----------
    submission_id : str
        Chosen by the client; the same for each retry.
    attempt : str
        Distinguishes the arrivals of one submission.
    route : str
        Name of the entry.
    host, target : str
        Host and path of the request.
    arrived_wall_ms : int
        Arrival time by the wall clock, in milliseconds.
    waiting_limit : int
        The entry's limit on waiting tokens as the receiving VM knew it; 0 for none.
    owner : str
        Process that runs the items, as ``vm/incarnation``.
    items : tuple of Item
        Items to run, following those of its parts.
    piece_count : int
        Number of items in the parts and here; 0 in records of earlier releases. A
        submission of which some are missing is not accepted.
    customer : str
        Name of the customer; empty for none and in records of earlier releases.
    is_public : bool
        Whether the entry needed no key; false in records of earlier releases.
    """

    submission_id: str
    attempt: str
    route: str
    host: str
    target: str
    arrived_wall_ms: int
    waiting_limit: int
    owner: str
    items: tuple[Item, ...]
    piece_count: int = 0
    customer: str = ""
    is_public: bool = False


class RefusedAttempt(msgspec.Struct, frozen=True, kw_only=True, tag="refused"):
    """An arrival of a submission that was refused for its tokens.

    It has the key of the `Submitted` that it replaces.
    """

    submission_id: str
    attempt: str


class ItemEnded(msgspec.Struct, frozen=True, kw_only=True, tag="listed"):
    """An item ended; only the first such record of an item counts.

    Attributes
    ----------
    submission_id, item_id : str
        Identify the item.
    completed : bool
        True if the output is complete, false if the item was given up.
    text : str
        Output.
    """

    submission_id: str
    item_id: str
    completed: bool
    text: str


class TextLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Where an item's output is in the log of texts.

    Attributes
    ----------
    key : str
        Key of its record; written once.
    offset : int
        Offset of the record, by which it is read while the log's history lasts.
    size_bytes : int
        Size of the output.
    """

    key: str
    offset: int
    size_bytes: int


class ItemEndedApart(ItemEnded, frozen=True, kw_only=True, tag="listed_apart"):
    """An item was completed, and its output is in the log of texts.

    `text` is empty. It is of a kind of its own, so that a release that does not know
    it skips it and never returns an empty output.

    Attributes
    ----------
    text_at : TextLocation
        Where the output is.
    """

    text_at: TextLocation


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True, tag="failed"):
    """A worker answered an item with an error of its own."""

    submission_id: str
    item_id: str


class Progress(msgspec.Struct, frozen=True, kw_only=True, tag=PROGRESS_KIND):
    """Output of an item so far, from which another process can resume it.

    Attributes
    ----------
    after_event : str
        Id of the last event in `texts`.
    texts : tuple of str
        Data of the events.
    origin : StreamOrigin or None
        Software that wrote them; None in records of earlier releases.
    """

    submission_id: str
    item_id: str
    after_event: str
    texts: tuple[str, ...]
    origin: StreamOrigin | None = None


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag="ended"):
    """The client ended its submission."""

    submission_id: str


class TakenOver(msgspec.Struct, frozen=True, kw_only=True, tag="taken"):
    """Another process takes over the remaining items.

    Attributes
    ----------
    generation : int
        One more than the current generation; any other value has no effect.
    owner : str
        New owner, as ``vm/incarnation``.
    """

    submission_id: str
    generation: int
    owner: str


Record: t.TypeAlias = (
    Part
    | Submitted
    | RefusedAttempt
    | ItemEnded
    | ItemEndedApart
    | AttemptFailed
    | Progress
    | Ended
    | TakenOver
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def key_segment(name: str) -> str:
    """Return how an id that a client chose stands in keys, which have few bytes."""
    is_plain = not name.startswith(_DIGEST_MARK) and not _NOT_IN_SEGMENT & set(name)
    if is_plain and len(name.encode()) <= MAX_SEGMENT_BYTES:
        return name
    return _DIGEST_MARK + xxhash.xxh3_128_hexdigest(name.encode())


def item_bytes(item: Item) -> int:
    """Return the size of an item in a record."""
    return len(_encoder.encode(item))


def encode(record: Record, *, key_suffix: str) -> KeyedRecord:
    """Return a record encoded for the log.

    Parameters
    ----------
    record : Record
        Record to encode.
    key_suffix : str
        Last part of the key; unique among the submission's records of this kind.
    """
    kind = type(record).__struct_config__.tag
    key = f"{kind}/{key_segment(record.submission_id)}/{key_suffix}"
    return KeyedRecord(key=key, value=_encoder.encode(record))


def encode_text(submission_id: str, text: str, *, key_suffix: str) -> KeyedRecord:
    """Return an item's output encoded for the log of texts."""
    key = f"{TEXT_KIND}/{key_segment(submission_id)}/{key_suffix}"
    return KeyedRecord(key=key, value=text.encode())


def encode_refused(record: RefusedAttempt, *, key: str) -> KeyedRecord:
    """Return a refused attempt encoded for the log.

    Parameters
    ----------
    record : RefusedAttempt
        Record to encode.
    key : str
        Key of the `Submitted` that it replaces.
    """
    return KeyedRecord(key=key, value=_encoder.encode(record))


def drop_progress(submission_id: str, item_id: str) -> KeyedRecord:
    """Return the record that drops an item's progress from the log."""
    key = f"{PROGRESS_KIND}/{key_segment(submission_id)}/{key_segment(item_id)}"
    return KeyedRecord(key=key, value=b"")


def decode(value: bytes) -> Record:
    """Decode a record.

    Raises
    ------
    RecordUnreadable
        The bytes do not decode to any known record type.
    """
    with decoding(RecordUnreadable):
        return _decoder.decode(value)
