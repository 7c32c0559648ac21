"""Authenticated connections between entry VMs."""

import dataclasses
import secrets
import typing as t

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from foxtailbank import clock as clock_module
from foxtailbank import exceptions, peer_codec
from foxtailbank import peer_messages as pm

HANDSHAKE_TIMEOUT_MS = 3000
CLIENT_DIRECTION = b"c"
SERVER_DIRECTION = b"s"

CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)


@dataclasses.dataclass(kw_only=True)
class PeerLink:
    """Connection with a completed handshake.

    Attributes
    ----------
    stream : ByteStream
        The connection.
    reader : BufferedByteReceiveStream
        Buffered reader of the connection.
    sealer : FrameSealer
        Encodes outgoing frames.
    opener : FrameOpener
        Verifies incoming frames.
    peer : Hello
        Hello message of the other side.
    """

    stream: anyio.abc.ByteStream
    reader: BufferedByteReceiveStream
    sealer: peer_codec.FrameSealer
    opener: peer_codec.FrameOpener
    peer: pm.Hello = dataclasses.field(default_factory=lambda: pm.Hello(vm_id=""))

    async def send(self, envelopes: t.Iterable[peer_codec.Envelope]) -> None:
        """Send messages in one write; calls must not overlap.

        Raises
        ------
        FrameTooLarge
            A message exceeds `MAX_FRAME_BYTES`; nothing was sent.
        PeerUnreachable
            The connection broke.
        """
        data = self.sealer.seal_all(envelopes)
        try:
            await self.stream.send(data)
        except CONNECTION_ERRORS as error:
            raise exceptions.PeerUnreachable(detail="connection broke") from error

    async def receive(self) -> peer_codec.Envelope:
        """Return the next message.

        Raises
        ------
        PeerUnreachable
            The connection broke or ended.
        FrameInvalid, FrameTooLarge
            A frame is invalid; the connection must be closed.
        UnsupportedMessage
            The message is not supported; the connection remains usable.
        """
        try:
            header = await self.reader.receive_exactly(peer_codec.LENGTH_STRUCT.size)
            length = peer_codec.frame_length(header)
            body = await self.reader.receive_exactly(length)
        except CONNECTION_ERRORS as error:
            raise exceptions.PeerUnreachable(detail="connection broke") from error
        return self.opener.open(body)

    async def close(self) -> None:
        """Close the connection without waiting for the other side."""
        await anyio.aclose_forcefully(self.stream)


async def open_link(
    stream: anyio.abc.ByteStream, *, secret: bytes, own_hello: pm.Hello, is_client: bool
) -> PeerLink:
    """Perform the handshake on a new connection.

    Each side sends a random nonce. The session key depends on both, so that
    frames replayed from another connection are rejected.

    Parameters
    ----------
    stream : ByteStream
        New connection.
    secret : bytes
        Secret shared by all entry VMs.
    own_hello : Hello
        Hello message of this VM.
    is_client : bool
        Whether this side opened the connection.

    Returns
    -------
    PeerLink
        The connection, with the other side's hello message.

    Raises
    ------
    FrameInvalid
        The other side does not have the same secret.
    PeerUnreachable
        The connection broke.
    PeerTimeout
        The other side did not complete the handshake in time.
    """
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_MS / clock_module.MS_PER_S):
            return await _perform_handshake(stream, secret, own_hello, is_client)
    except TimeoutError as error:
        raise exceptions.PeerTimeout(detail="handshake timed out") from error


async def _perform_handshake(
    stream: anyio.abc.ByteStream, secret: bytes, own_hello: pm.Hello, is_client: bool
) -> PeerLink:
    own_nonce = secrets.token_bytes(peer_codec.NONCE_BYTES)
    reader = BufferedByteReceiveStream(stream)
    try:
        await stream.send(own_nonce)
        peer_nonce = await reader.receive_exactly(peer_codec.NONCE_BYTES)
    except CONNECTION_ERRORS as error:
        raise exceptions.PeerUnreachable(detail="connection broke") from error
    key = peer_codec.session_key(
        secret=secret,
        client_nonce=own_nonce if is_client else peer_nonce,
        server_nonce=peer_nonce if is_client else own_nonce,
    )
    own_direction, peer_direction = (
        (CLIENT_DIRECTION, SERVER_DIRECTION)
        if is_client
        else (SERVER_DIRECTION, CLIENT_DIRECTION)
    )
    link = PeerLink(
        stream=stream,
        reader=reader,
        sealer=peer_codec.FrameSealer(key=key, direction=own_direction),
        opener=peer_codec.FrameOpener(key=key, direction=peer_direction),
    )
    await link.send([peer_codec.Envelope(message=own_hello)])
    hello = (await link.receive()).message
    if not isinstance(hello, pm.Hello):
        raise exceptions.FrameInvalid(detail="first message is not a hello")
    link.peer = hello
    return link
