"""Encoding and authentication of messages between entry VMs."""

import contextlib
import dataclasses
import enum
import hashlib
import hmac
import importlib.resources
import struct
import types
import typing as t

import capnp

from foxtailbank import exceptions, log_service, peer_kinds
from foxtailbank import peer_messages as pm

SCHEMA_VERSION = 1
MIN_SCHEMA_VERSION = 1
MAX_FRAME_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 1400
NONCE_BYTES = 16
MAC_BYTES = 32
DATAGRAM_MAC_BYTES = 16
LENGTH = struct.Struct(">I")
SEQUENCE = struct.Struct(">Q")
SESSION_LABEL = b"foxtailbank peer session 1"
DATAGRAM_LABEL = b"foxtailbank peer datagram 1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Envelope:
    """One message with its correlation.

    Attributes
    ----------
    message : PeerMessage
        Content.
    correlation : int
        Number of the request; 0 for a notice.
    is_reply : bool
        Whether it answers the request of that number.
    """

    message: pm.PeerMessage
    correlation: int = 0
    is_reply: bool = False


class UnsupportedMessage(exceptions.MessageUnsupported):
    """An authentic message that this version cannot decode.

    Parameters
    ----------
    correlation : int
        Number of the request; 0 for a notice.
    is_reply : bool
        Whether it is a reply.
    """

    def __init__(self, *, correlation: int, is_reply: bool) -> None:
        super().__init__(detail="message kind or schema version is not supported")
        self.correlation = correlation
        self.is_reply = is_reply


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Field:
    name: str
    wire_name: str
    kind: t.Any
    item: t.Any


def _load_schema() -> t.Any:
    capnp.remove_import_hook()
    resource = importlib.resources.files("foxtailbank") / "peer.capnp"
    with importlib.resources.as_file(resource) as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()
_RECORD_TYPES = (
    pm.MemberRecord,
    pm.Fact,
    pm.PoolLoad,
    pm.ZoneDigest,
    pm.ZoneAge,
    log_service.LogRecord,
)


def _wire_name(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _fields_of(record_type: t.Any) -> tuple[_Field, ...]:
    hints = t.get_type_hints(record_type)
    found = []
    for field in dataclasses.fields(record_type):
        kind = hints[field.name]
        item = None
        if t.get_origin(kind) is tuple:
            item = t.get_args(kind)[0]
            kind = tuple
        elif t.get_origin(kind) is types.UnionType:
            kind = t.get_args(kind)[0]
        found.append(
            _Field(
                name=field.name,
                wire_name=_wire_name(field.name),
                kind=kind,
                item=item,
            )
        )
    return tuple(found)


_FIELDS_BY_TYPE: dict[t.Any, tuple[_Field, ...]] = {
    record_type: _fields_of(record_type)
    for record_type in (*peer_kinds.KIND_BY_TYPE, *_RECORD_TYPES)
}


def encode(envelope: Envelope, *, schema: int = SCHEMA_VERSION) -> bytes:
    """Return the capnp bytes of an envelope.

    Parameters
    ----------
    envelope : Envelope
        What to encode.
    schema : int
        Schema version to state.

    Returns
    -------
    bytes
        Packed capnp message.
    """
    builder = _SCHEMA.Envelope.new_message()
    builder.schemaVersion = schema
    builder.correlation = envelope.correlation
    builder.isReply = envelope.is_reply
    message = envelope.message
    _write(message, builder.init(peer_kinds.KIND_BY_TYPE[type(message)]))
    return t.cast(bytes, builder.to_bytes_packed())


def decode(data: bytes) -> Envelope:
    """Return the envelope of capnp bytes whose authenticity was checked.

    Parameters
    ----------
    data : bytes
        Packed capnp message.

    Returns
    -------
    Envelope
        Content.

    Raises
    ------
    UnsupportedMessage
        The kind or the schema version is not known.
    FrameInvalid
        The bytes are no message.
    """
    try:
        reader = _SCHEMA.Envelope.from_bytes_packed(data)
        correlation = reader.correlation
        is_reply = reader.isReply
        schema = reader.schemaVersion
    except capnp.KjException as error:
        raise exceptions.FrameInvalid(detail="not a capnp message") from error
    if schema < MIN_SCHEMA_VERSION:
        raise UnsupportedMessage(correlation=correlation, is_reply=is_reply)
    try:
        kind = str(reader.which())
    except capnp.KjException as error:
        raise UnsupportedMessage(correlation=correlation, is_reply=is_reply) from error
    try:
        message = _read(peer_kinds.TYPE_BY_KIND[kind], getattr(reader, kind))
    except (capnp.KjException, ValueError) as error:
        raise exceptions.FrameInvalid(detail="malformed message") from error
    return Envelope(message=message, correlation=correlation, is_reply=is_reply)


def _write(record: t.Any, builder: t.Any) -> None:
    for field in _FIELDS_BY_TYPE[type(record)]:
        value = getattr(record, field.name)
        if field.kind is tuple:
            if value:
                _write_list(value, builder.init(field.wire_name, len(value)))
        elif field.kind in _FIELDS_BY_TYPE:
            if value is not None:
                _write(value, builder.init(field.wire_name))
        elif isinstance(value, enum.IntEnum):
            setattr(builder, field.wire_name, int(value))
        else:
            setattr(builder, field.wire_name, value)


def _write_list(records: t.Sequence[t.Any], builders: t.Any) -> None:
    for index, record in enumerate(records):
        _write(record, builders[index])


def _read(record_type: t.Any, reader: t.Any) -> t.Any:
    values: dict[str, t.Any] = {}
    for field in _FIELDS_BY_TYPE[record_type]:
        if field.kind is tuple:
            values[field.name] = _read_list(
                field.item, getattr(reader, field.wire_name)
            )
        elif field.kind in _FIELDS_BY_TYPE:
            present = reader._has(field.wire_name)
            values[field.name] = (
                _read(field.kind, getattr(reader, field.wire_name)) if present else None
            )
        elif issubclass(field.kind, enum.IntEnum):
            values[field.name] = field.kind(getattr(reader, field.wire_name))
        else:
            values[field.name] = field.kind(getattr(reader, field.wire_name))
    return record_type(**values)


def _read_list(record_type: t.Any, readers: t.Any) -> tuple[t.Any, ...]:
    records: list[t.Any] = []
    for reader in readers:
        # A value that a later version added concerns only its own record.
        with contextlib.suppress(ValueError):
            records.append(_read(record_type, reader))
    return tuple(records)


def session_key(*, secret: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    """Return the key of one connection, bound to both sides' challenges."""
    content = SESSION_LABEL + client_nonce + server_nonce
    return hmac.digest(secret, content, hashlib.sha256)


class FrameSealer:
    """Makes the frames of one direction of a connection.

    Parameters
    ----------
    key : bytes
        Session key.
    direction : bytes
        ``b"c"`` for frames of the connecting side, ``b"s"`` for the other.
    """

    def __init__(self, *, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence = 0

    def seal(self, envelope: Envelope) -> bytes:
        """Return the next frame: length, MAC, capnp message.

        Raises
        ------
        FrameTooLarge
            The message exceeds the bound on frames.
        """
        data = encode(envelope)
        if len(data) + MAC_BYTES > MAX_FRAME_BYTES:
            raise exceptions.FrameTooLarge(detail=f"{len(data)} bytes")
        mac = _frame_mac(self._key, self._direction, self._sequence, data)
        self._sequence += 1
        return LENGTH.pack(len(data) + MAC_BYTES) + mac + data


class FrameOpener:
    """Checks and decodes the frames of one direction of a connection.

    Parameters
    ----------
    key : bytes
        Session key.
    direction : bytes
        Direction of the frames, as given to the sealer.
    """

    def __init__(self, *, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence = 0

    def open(self, body: bytes) -> Envelope:
        """Return the message of a frame without its length.

        Raises
        ------
        FrameInvalid
            The frame is not the next one of this connection, or was changed.
        UnsupportedMessage
            The frame is authentic, but its message is not known.
        """
        mac = body[:MAC_BYTES]
        data = body[MAC_BYTES:]
        expected = _frame_mac(self._key, self._direction, self._sequence, data)
        if not hmac.compare_digest(mac, expected):
            raise exceptions.FrameInvalid(detail="frame is not authentic")
        self._sequence += 1
        return decode(data)


def _frame_mac(key: bytes, direction: bytes, sequence: int, data: bytes) -> bytes:
    return hmac.digest(key, direction + SEQUENCE.pack(sequence) + data, hashlib.sha256)


def frame_length(header: bytes) -> int:
    """Return the length of the frame that follows a header.

    Raises
    ------
    FrameTooLarge
        The frame exceeds its bound.
    FrameInvalid
        The frame is too short to be one.
    """
    (length,) = LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{length} bytes")
    if length < MAC_BYTES:
        raise exceptions.FrameInvalid(detail=f"{length} bytes")
    return int(length)


def seal_datagram(heartbeat: pm.Heartbeat, *, secret: bytes) -> bytes:
    """Return a heartbeat's datagram.

    Raises
    ------
    FrameTooLarge
        The datagram exceeds its bound.
    """
    data = encode(Envelope(message=heartbeat))
    if len(data) + DATAGRAM_MAC_BYTES > MAX_DATAGRAM_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{len(data)} bytes")
    return _datagram_mac(secret, data) + data


def open_datagram(datagram: bytes, *, secret: bytes) -> pm.Heartbeat:
    """Return the heartbeat of a datagram.

    Raises
    ------
    FrameInvalid
        The datagram is not authentic or not a heartbeat.
    FrameTooLarge
        The datagram exceeds its bound.
    UnsupportedMessage
        The datagram is authentic, but its message is not known.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{len(datagram)} bytes")
    mac = datagram[:DATAGRAM_MAC_BYTES]
    data = datagram[DATAGRAM_MAC_BYTES:]
    if not hmac.compare_digest(mac, _datagram_mac(secret, data)):
        raise exceptions.FrameInvalid(detail="datagram is not authentic")
    message = decode(data).message
    if not isinstance(message, pm.Heartbeat):
        raise exceptions.FrameInvalid(detail="datagram is no heartbeat")
    return message


def _datagram_mac(secret: bytes, data: bytes) -> bytes:
    mac = hmac.digest(secret, DATAGRAM_LABEL + data, hashlib.sha256)
    return mac[:DATAGRAM_MAC_BYTES]
