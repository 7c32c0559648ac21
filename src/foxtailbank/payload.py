"""Framing of the records of the payload stream: a header line and a body."""

import enum

import msgspec
import xxhash

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.item_set import ItemRange
from foxtailbank.records import UnsupportedRecord

SCHEMA = 1


class PayloadInvalid(FoxtailbankError):
    """The record is not the payload that its reference stands for."""

    code = "payload_invalid"


class PayloadKind(enum.Enum):
    """What a payload record holds."""

    INPUT = "input"
    RESULTS = "results"
    MANIFEST = "manifest"
    SNAPSHOT = "snapshot"
    ANSWER = "answer"


class PayloadHeader(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """First line of a payload record.

    Attributes
    ----------
    schema : int
        Version of the record's form.
    kind : PayloadKind
        What the body holds.
    digest : str
        Digest of the body.
    job_id : str
        Job that the body belongs to; empty if none.
    part : int
        Chunk of the job, or part of the snapshot.
    items : tuple of ItemRange
        Positions in the chunk of the body's lines, ascending.
    """

    schema: int
    kind: PayloadKind
    digest: str
    job_id: str = ""
    part: int = 0
    items: tuple[ItemRange, ...] = ()


class Payload(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the payload stream.

    Attributes
    ----------
    header : PayloadHeader
        What the body is.
    body : bytes
        Content as given.
    """

    header: PayloadHeader
    body: bytes


class _Schema(msgspec.Struct, frozen=True, array_like=True):
    """The part of a header that no version may change."""

    schema: int


_header_decoder = msgspec.json.Decoder(PayloadHeader)
_schema_decoder = msgspec.json.Decoder(_Schema)


def encode_payload(
    *,
    kind: PayloadKind,
    body: bytes,
    job_id: str = "",
    part: int = 0,
    items: tuple[ItemRange, ...] = (),
) -> bytes:
    """Return a payload record.

    Parameters
    ----------
    kind : PayloadKind
        What the body holds.
    body : bytes
        Content.
    job_id : str
        Job that the body belongs to.
    part : int
        Chunk of the job, or part of the snapshot.
    items : tuple of ItemRange
        Positions in the chunk of the body's lines, ascending.
    """
    header = PayloadHeader(
        schema=SCHEMA,
        kind=kind,
        digest=_digest(body),
        job_id=job_id,
        part=part,
        items=items,
    )
    return msgspec.json.encode(header) + b"\n" + body


def decode_payload(
    data: bytes, *, kind: PayloadKind, job_id: str = "", part: int = 0
) -> Payload:
    """Return the payload of a record.

    Parameters
    ----------
    data : bytes
        Record of the payload stream.
    kind : PayloadKind
        What the body has to hold.
    job_id : str
        Job that the body has to belong to.
    part : int
        Chunk or part that the body has to be.

    Raises
    ------
    PayloadInvalid
        The record is damaged or not what was asked for.
    UnsupportedRecord
        A newer version wrote the record.
    """
    head, _, body = data.partition(b"\n")
    header = _decode_header(head)
    if (header.kind, header.job_id, header.part) != (kind, job_id, part):
        found = f"{header.kind.value} {header.part} of {header.job_id!r}"
        raise PayloadInvalid(detail=f"found {found}")
    if header.digest != _digest(body):
        raise PayloadInvalid(detail="the digest does not match the body")
    return Payload(header=header, body=body)


def _decode_header(head: bytes) -> PayloadHeader:
    try:
        schema = _schema_decoder.decode(head).schema
        if schema != SCHEMA:
            raise UnsupportedRecord(detail=f"payload schema {schema}")
        return _header_decoder.decode(head)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PayloadInvalid(detail=str(error)) from error


def _digest(body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(body)
