"""Records of the submission log.

No key is ever written twice, except to drop it, so that the newest record of each
key is the whole history and gives every VM the same state in the same order. Only an
item's progress replaces what it was before, for it decides nothing but where to go on.
"""

import typing as t

import msgspec

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.keyed_log import KeyedRecord

SUBMITTED_KIND = "submitted"


class RecordUnreadable(FoxtailbankError):
    """The bytes of a record are none of the known forms."""

    code = "record_unreadable"


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a submission.

    Attributes
    ----------
    item_id : str
        Its id, unique within the submission.
    target : str
        Path that it is sent to.
    headers : tuple of (str, str)
        Headers to send.
    body : bytes
        Content.
    tokens : int
        Prompt and output tokens together.
    """

    item_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class Part(msgspec.Struct, frozen=True, kw_only=True, tag="part"):
    """Items of a submission that is too large for one record."""

    submission_id: str
    attempt: str
    items: tuple[Item, ...]


class Submitted(msgspec.Struct, frozen=True, kw_only=True, tag=SUBMITTED_KIND):
    """A submission arrived; accepted if it fits when the log reaches this record.

    Attributes
    ----------
    submission_id : str
        Chosen by the client; the same at each repetition.
    attempt : str
        Tells apart the arrivals of one submission.
    route : str
        Entry that it falls under.
    host, target : str
        Where it was sent.
    arrived_wall_ms : int
        When it arrived, in wall milliseconds.
    waiting_limit : int
        Bound of the entry on waiting tokens, as the accepting VM knew it; 0 for none.
    owner : str
        Process that runs the items, as ``vm/incarnation``.
    items : tuple of Item
        What is to run, after the items of its parts.
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


class Listed(msgspec.Struct, frozen=True, kw_only=True, tag="listed"):
    """An item ended; the first such record of an item counts.

    Attributes
    ----------
    submission_id, item_id : str
        Which item.
    completed : bool
        Whether it has its whole output, or was given up.
    text : str
        The output.
    """

    submission_id: str
    item_id: str
    completed: bool
    text: str


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True, tag="failed"):
    """A worker answered an item with a failure of its own."""

    submission_id: str
    item_id: str


class Progress(msgspec.Struct, frozen=True, kw_only=True, tag="progress"):
    """Output of an item so far, for a process that takes it over.

    Attributes
    ----------
    after_event : str
        Id of the last event that is in the text.
    texts : tuple of str
        Data of the events.
    """

    submission_id: str
    item_id: str
    after_event: str
    texts: tuple[str, ...]


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag="ended"):
    """The client ended its submission."""

    submission_id: str


class Taken(msgspec.Struct, frozen=True, kw_only=True, tag="taken"):
    """Another process takes over the items that are left.

    Attributes
    ----------
    generation : int
        One more than the present one; a record that comes too late has no effect.
    owner : str
        The process, as ``vm/incarnation``.
    """

    submission_id: str
    generation: int
    owner: str


Record: t.TypeAlias = (
    Part | Submitted | Listed | AttemptFailed | Progress | Ended | Taken
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record, *, unique: str) -> KeyedRecord:
    """Return a record for the log.

    Parameters
    ----------
    record : Record
        Content.
    unique : str
        Text that no other record's key has.
    """
    kind = type(record).__struct_config__.tag
    key = f"{kind}/{record.submission_id}/{unique}"
    return KeyedRecord(key=key, value=_encoder.encode(record))


def decode(value: bytes) -> Record:
    """Read the content of a record.

    Raises
    ------
    RecordUnreadable
        The bytes are of no known form.
    """
    try:
        return _decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RecordUnreadable(detail=str(error)) from error
