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
LENGTH_STRUCT = struct.Struct(">I")
SEQUENCE_STRUCT = struct.Struct(">Q")
SESSION_LABEL = b"foxtailbank peer session 1"
DATAGRAM_LABEL = b"foxtailbank peer datagram 1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Envelope:
    """A message with its correlation id.

    Attributes
    ----------
    message : PeerMessage
        The message.
    correlation : int
        Id of the request; 0 for a notice.
    is_reply : bool
        Whether the message answers that request.
    """

    message: pm.PeerMessage
    correlation: int = 0
    is_reply: bool = False


class UnsupportedMessage(exceptions.MessageUnsupported):
    """An authentic message cannot be decoded by this version.

    Parameters
    ----------
    correlation : int
        Id of the request; 0 for a notice.
    is_reply : bool
        Whether the message is a reply.
    """

    def __init__(self, *, correlation: int, is_reply: bool) -> None:
        super().__init__(detail="message kind or schema version is not supported")
        self.correlation = correlation
        self.is_reply = is_reply


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Field:
    name: str
    wire_name: str
    value_type: t.Any
    item_type: t.Any


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
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _fields_of(record_type: t.Any) -> tuple[_Field, ...]:
    hints = t.get_type_hints(record_type)
    fields = []
    for field in dataclasses.fields(record_type):
        value_type = hints[field.name]
        item_type = None
        if t.get_origin(value_type) is tuple:
            item_type = t.get_args(value_type)[0]
            value_type = tuple
        elif t.get_origin(value_type) is types.UnionType:
            value_type = t.get_args(value_type)[0]
        fields.append(
            _Field(
                name=field.name,
                wire_name=_wire_name(field.name),
                value_type=value_type,
                item_type=item_type,
            )
        )
    return tuple(fields)


_FIELDS_BY_TYPE: dict[t.Any, tuple[_Field, ...]] = {
    record_type: _fields_of(record_type)
    for record_type in (*peer_kinds.KIND_BY_TYPE, *_RECORD_TYPES)
}


def encode(envelope: Envelope, *, schema_version: int = SCHEMA_VERSION) -> bytes:
    """Serialise an envelope.

    Parameters
    ----------
    envelope : Envelope
        Envelope to encode.
    schema_version : int
        Schema version to write into the message.

    Returns
    -------
    bytes
        Packed Cap'n Proto message.
    """
    builder = _SCHEMA.Envelope.new_message()
    builder.schemaVersion = schema_version
    builder.correlation = envelope.correlation
    builder.isReply = envelope.is_reply
    message = envelope.message
    _write(message, builder.init(peer_kinds.KIND_BY_TYPE[type(message)]))
    return t.cast(bytes, builder.to_bytes_packed())


def decode(data: bytes) -> Envelope:
    """Deserialise an envelope whose MAC was verified.

    Parameters
    ----------
    data : bytes
        Packed Cap'n Proto message.

    Returns
    -------
    Envelope
        The message and its correlation id.

    Raises
    ------
    UnsupportedMessage
        The message kind or the schema version is unknown.
    FrameInvalid
        The bytes are not a valid message.
    """
    try:
        reader = _SCHEMA.Envelope.from_bytes_packed(data)
        correlation = reader.correlation
        is_reply = reader.isReply
        schema_version = reader.schemaVersion
    except capnp.KjException as error:
        raise exceptions.FrameInvalid(detail="not a Cap'n Proto message") from error
    if schema_version < MIN_SCHEMA_VERSION:
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
        if field.value_type is tuple:
            if value:
                _write_list(value, builder.init(field.wire_name, len(value)))
        elif field.value_type in _FIELDS_BY_TYPE:
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
        if field.value_type is tuple:
            values[field.name] = _read_list(
                field.item_type, getattr(reader, field.wire_name)
            )
        elif field.value_type in _FIELDS_BY_TYPE:
            is_present = reader._has(field.wire_name)
            values[field.name] = (
                _read(field.value_type, getattr(reader, field.wire_name))
                if is_present
                else None
            )
        elif issubclass(field.value_type, enum.IntEnum):
            values[field.name] = field.value_type(getattr(reader, field.wire_name))
        else:
            values[field.name] = field.value_type(getattr(reader, field.wire_name))
    return record_type(**values)


def _read_list(record_type: t.Any, readers: t.Any) -> tuple[t.Any, ...]:
    records: list[t.Any] = []
    for reader in readers:
        # Skip only the record that has an enum value from a later version.
        with contextlib.suppress(ValueError):
            records.append(_read(record_type, reader))
    return tuple(records)


def session_key(*, secret: bytes, client_nonce: bytes, server_nonce: bytes) -> bytes:
    """Derive a connection's key from the shared secret and both nonces."""
    content = SESSION_LABEL + client_nonce + server_nonce
    return hmac.digest(secret, content, hashlib.sha256)


class FrameSealer:
    """Authenticates and encodes the frames of one direction of a connection.

    Parameters
    ----------
    key : bytes
        Session key.
    direction : bytes
        ``b"c"`` for frames from the client, ``b"s"`` for frames from the server.
    """

    def __init__(self, *, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence = 0

    def seal(self, envelope: Envelope) -> bytes:
        """Return the next frame: length, MAC, Cap'n Proto message.

        Raises
        ------
        FrameTooLarge
            The message exceeds `MAX_FRAME_BYTES`.
        """
        return self.seal_all((envelope,))

    def seal_all(self, envelopes: t.Iterable[Envelope]) -> bytes:
        """Return the next frames, one a message.

        Raises
        ------
        FrameTooLarge
            A message exceeds `MAX_FRAME_BYTES`; no frame was numbered.
        """
        bodies = [_encode_body(envelope) for envelope in envelopes]
        return b"".join([self._seal_body(data) for data in bodies])

    def _seal_body(self, data: bytes) -> bytes:
        mac = _frame_mac(self._key, self._direction, self._sequence, data)
        self._sequence += 1
        return LENGTH_STRUCT.pack(len(data) + MAC_BYTES) + mac + data


def _encode_body(envelope: Envelope) -> bytes:
    data = encode(envelope)
    if len(data) + MAC_BYTES > MAX_FRAME_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{len(data)} bytes")
    return data


class FrameOpener:
    """Verifies and decodes the frames of one direction of a connection.

    Parameters
    ----------
    key : bytes
        Session key.
    direction : bytes
        Direction of the frames, as passed to the `FrameSealer`.
    """

    def __init__(self, *, key: bytes, direction: bytes) -> None:
        self._key = key
        self._direction = direction
        self._sequence = 0

    def open(self, body: bytes) -> Envelope:
        """Verify and decode a frame, given without its length prefix.

        Raises
        ------
        FrameInvalid
            The frame was modified, or is not the next one of this connection.
        UnsupportedMessage
            The frame is authentic, but its message is not supported.
        """
        mac = body[:MAC_BYTES]
        data = body[MAC_BYTES:]
        expected = _frame_mac(self._key, self._direction, self._sequence, data)
        if not hmac.compare_digest(mac, expected):
            raise exceptions.FrameInvalid(detail="frame authentication failed")
        self._sequence += 1
        return decode(data)


def _frame_mac(key: bytes, direction: bytes, sequence: int, data: bytes) -> bytes:
    return hmac.digest(
        key, direction + SEQUENCE_STRUCT.pack(sequence) + data, hashlib.sha256
    )


def frame_length(header: bytes) -> int:
    """Return the frame length from a length prefix.

    Raises
    ------
    FrameTooLarge
        The frame exceeds `MAX_FRAME_BYTES`.
    FrameInvalid
        The frame is shorter than its MAC.
    """
    (length,) = LENGTH_STRUCT.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{length} bytes")
    if length < MAC_BYTES:
        raise exceptions.FrameInvalid(detail=f"frame of {length} bytes has no MAC")
    return int(length)


def seal_datagram(heartbeat: pm.Heartbeat, *, secret: bytes) -> bytes:
    """Authenticate and encode a heartbeat.

    Raises
    ------
    FrameTooLarge
        The datagram exceeds `MAX_DATAGRAM_BYTES`.
    """
    data = encode(Envelope(message=heartbeat))
    if len(data) + DATAGRAM_MAC_BYTES > MAX_DATAGRAM_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{len(data)} bytes")
    return _datagram_mac(secret, data) + data


def open_datagram(datagram: bytes, *, secret: bytes) -> pm.Heartbeat:
    """Verify and decode a heartbeat.

    Raises
    ------
    FrameInvalid
        The datagram is not authentic or not a heartbeat.
    FrameTooLarge
        The datagram exceeds `MAX_DATAGRAM_BYTES`.
    UnsupportedMessage
        The datagram is authentic, but its message is not supported.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise exceptions.FrameTooLarge(detail=f"{len(datagram)} bytes")
    mac = datagram[:DATAGRAM_MAC_BYTES]
    data = datagram[DATAGRAM_MAC_BYTES:]
    if not hmac.compare_digest(mac, _datagram_mac(secret, data)):
        raise exceptions.FrameInvalid(detail="datagram authentication failed")
    message = decode(data).message
    if not isinstance(message, pm.Heartbeat):
        raise exceptions.FrameInvalid(detail="datagram is not a heartbeat")
    return message


def _datagram_mac(secret: bytes, data: bytes) -> bytes:
    mac = hmac.digest(secret, DATAGRAM_LABEL + data, hashlib.sha256)
    return mac[:DATAGRAM_MAC_BYTES]
