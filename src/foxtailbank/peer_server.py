"""Server for requests and notices from other entry VMs."""

import logging

import anyio
import anyio.abc

from foxtailbank import exceptions, peer_codec, peer_handler, peer_link
from foxtailbank import peer_messages as pm

logger = logging.getLogger(__name__)
MAX_REQUESTS_PER_LINK = 256


class PeerServer:
    """Accepts connections from other entry VMs.

    Parameters
    ----------
    own_hello : Hello
        Hello message of this VM.
    secret : bytes
        Secret shared by all entry VMs.
    handler : PeerHandler
        Handles the messages.
    """

    def __init__(
        self, *, own_hello: pm.Hello, secret: bytes, handler: peer_handler.PeerHandler
    ) -> None:
        self._own_hello = own_hello
        self._secret = secret
        self._handler = handler
        self.rejected_count = 0

    async def run(
        self,
        listener: anyio.abc.Listener[anyio.abc.SocketStream],
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Parameters
        ----------
        listener : Listener
            Listening socket.
        task_status : TaskStatus
            Notified once the server accepts connections.
        """
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        try:
            link = await peer_link.open_link(
                stream, secret=self._secret, own_hello=self._own_hello, is_client=False
            )
            connection = _Connection(link=link, handler=self._handler)
            await connection.serve()
        except exceptions.PeerUnreachable:
            pass
        except exceptions.PeerError as error:
            self.rejected_count += 1
            logger.warning("peer connection rejected", extra={"code": error.code})
        finally:
            await anyio.aclose_forcefully(stream)


class _Connection:
    """One accepted connection; answers are sent in order of completion."""

    def __init__(
        self, *, link: peer_link.PeerLink, handler: peer_handler.PeerHandler
    ) -> None:
        self._link = link
        self._handler = handler
        self._send_lock = anyio.Lock()
        self._request_limiter = anyio.Semaphore(MAX_REQUESTS_PER_LINK)

    async def serve(self) -> None:
        error: exceptions.PeerError | None = None
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    await self._serve_one(tasks)
            except exceptions.PeerError as caught:
                error = caught
                tasks.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _serve_one(self, tasks: anyio.abc.TaskGroup) -> None:
        try:
            envelope = await self._link.receive()
        except peer_codec.UnsupportedMessage as error:
            if error.correlation and not error.is_reply:
                await self._reply(error.correlation, _unsupported_reply())
            return
        message = envelope.message
        if not envelope.correlation:
            self._handle_notice(message)
        elif isinstance(message, pm.Ping):
            await self._reply(envelope.correlation, pm.Done())
        else:
            await self._request_limiter.acquire()
            tasks.start_soon(self._answer, envelope)

    def _handle_notice(self, message: pm.PeerMessage) -> None:
        try:
            self._handler.handle_notice(self._link.peer.vm_id, message)
        except exceptions.FoxtailbankError as error:
            logger.warning("peer notice failed", extra={"code": error.code})

    async def _answer(self, envelope: peer_codec.Envelope) -> None:
        peer_id = self._link.peer.vm_id
        try:
            answer = await self._handler.handle_request(peer_id, envelope.message)
        except exceptions.MessageUnsupported:
            answer = _unsupported_reply()
        except exceptions.FoxtailbankError as error:
            answer = pm.Refused(
                code=error.code,
                detail=error.detail,
                retry_after_ms=error.retry_after_ms,
            )
        finally:
            self._request_limiter.release()
        await self._reply(envelope.correlation, answer)

    async def _reply(self, correlation: int, answer: pm.PeerMessage) -> None:
        envelope = peer_codec.Envelope(
            message=answer, correlation=correlation, is_reply=True
        )
        try:
            async with self._send_lock:
                await self._link.send([envelope])
        except exceptions.FrameTooLarge as error:
            await self._reply(
                correlation, pm.Refused(code=error.code, detail=error.detail)
            )
        except exceptions.PeerUnreachable:
            await self._link.close()


def _unsupported_reply() -> pm.Unsupported:
    return pm.Unsupported(schema_version=peer_codec.SCHEMA_VERSION)
