"""Format of payload stream records: a header line followed by a body."""

import enum

import msgspec
import xxhash

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.item_set import ItemRange
from foxtailbank.records import UnsupportedRecord

SCHEMA = 1


class PayloadInvalid(FoxtailbankError):
    """The record is damaged or is not the payload that was referred to."""

    code = "payload_invalid"


class PayloadKind(enum.Enum):
    """Type of content of a payload record."""

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
        Version of the record format.
    kind : PayloadKind
        Type of content of the body.
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
        Describes the body.
    body : bytes
        Content as it was passed to `encode_payload`.
    """

    header: PayloadHeader
    body: bytes


class _Schema(msgspec.Struct, frozen=True, array_like=True):
    """Leading field that stays the same in all versions of the header."""

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
    """Encode a payload record.

    Parameters
    ----------
    kind : PayloadKind
        Type of content of the body.
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
    """Decode a payload record and check that it is the expected one.

    Parameters
    ----------
    data : bytes
        Record of the payload stream.
    kind : PayloadKind
        Expected type of content.
    job_id : str
        Expected job.
    part : int
        Expected chunk of the job, or part of the snapshot.

    Raises
    ------
    PayloadInvalid
        The record is damaged or not the expected one.
    UnsupportedRecord
        A newer version wrote the record.
    """
    head, _, body = data.partition(b"\n")
    header = _decode_header(head)
    if (header.kind, header.job_id, header.part) != (kind, job_id, part):
        found = f"{header.kind.value} {header.part} of {header.job_id!r}"
        raise PayloadInvalid(detail=f"unexpected payload: {found}")
    if header.digest != _digest(body):
        raise PayloadInvalid(detail="payload digest does not match the body")
    return Payload(header=header, body=body)


def _decode_header(head: bytes) -> PayloadHeader:
    try:
        schema = _schema_decoder.decode(head).schema
        if schema != SCHEMA:
            raise UnsupportedRecord(detail=f"unsupported payload schema {schema}")
        return _header_decoder.decode(head)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PayloadInvalid(detail=str(error)) from error


def _digest(body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(body)
