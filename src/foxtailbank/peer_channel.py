"""Message channel to one entry VM, with automatic reconnection."""

import collections
import dataclasses
import itertools

import anyio

from foxtailbank import clock as clock_module
from foxtailbank import exceptions, peer_codec, peer_link
from foxtailbank import peer_messages as pm

MAX_ENVELOPES_PER_WRITE = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChannelConfig:
    """Timeouts and limits of a channel.

    Attributes
    ----------
    connect_timeout_ms : int
        Timeout for opening a connection, handshake included.
    ping_after_ms : int
        Time without a received message after which a ping is sent.
    stall_timeout_ms : int
        Time without a received message after which the connection is
        replaced.
    min_backoff_ms, max_backoff_ms : int
        Shortest and longest wait between connection attempts; the wait doubles
        with each failure.
    idle_timeout_ms : int
        Time without a queued message after which the connection is closed.
    max_queued : int
        Maximum number of queued messages.
    max_queued_bytes : int
        Maximum total content size of queued messages.
    """

    connect_timeout_ms: int = 2000
    ping_after_ms: int = 1000
    stall_timeout_ms: int = 3000
    min_backoff_ms: int = 50
    max_backoff_ms: int = 2000
    idle_timeout_ms: int = 60_000
    max_queued: int = 1024
    max_queued_bytes: int = 4 << 20


class _PendingRequest:
    """Result of a request that awaits its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.is_sent = False
        self.answer: pm.PeerMessage | None = None
        self.error: exceptions.PeerError | None = None

    def finish(
        self,
        *,
        answer: pm.PeerMessage | None = None,
        error: exceptions.PeerError | None = None,
    ) -> None:
        self.answer = answer
        self.error = error
        self.done.set()


class PeerChannel:
    """Sends requests and notices to one VM.

    Parameters
    ----------
    vm_id, address : str
        VM to connect to, and its address as ``IP:PORT``.
    own_hello : Hello
        Hello message of this VM.
    secret : bytes
        Secret shared by all entry VMs.
    clock : Clock
        Source of time.
    config : ChannelConfig
        Timeouts and limits.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        address: str,
        own_hello: pm.Hello,
        secret: bytes,
        clock: clock_module.Clock,
        config: ChannelConfig,
    ) -> None:
        self.address = address
        self.is_open = True
        self.connection_count = 0
        self._vm_id = vm_id
        self._own_hello = own_hello
        self._secret = secret
        self._clock = clock
        self._config = config
        self._queue: collections.deque[peer_codec.Envelope] = collections.deque()
        self._queued_bytes = 0
        self._message_queued = anyio.Event()
        self._peer_alive = anyio.Event()
        self._pending_by_correlation: dict[int, _PendingRequest] = {}
        self._correlations = itertools.count(1)
        self._cancel_scope = anyio.CancelScope()
        self._last_received_ms = clock.now_ms()
        self._last_used_ms = clock.now_ms()

    async def request(
        self, message: pm.PeerMessage, *, timeout_ms: int
    ) -> pm.PeerMessage:
        """Return the VM's answer; see `PeerClient.request`."""
        correlation = next(self._correlations)
        pending = _PendingRequest()
        self._enqueue(peer_codec.Envelope(message=message, correlation=correlation))
        self._pending_by_correlation[correlation] = pending
        try:
            with anyio.fail_after(timeout_ms / clock_module.MS_PER_S):
                await pending.done.wait()
        except TimeoutError as error:
            raise exceptions.PeerTimeout(detail=self._vm_id) from error
        finally:
            del self._pending_by_correlation[correlation]
        if pending.error is not None:
            raise pending.error
        return _answer_or_raise(pending.answer)

    def notify(self, message: pm.PeerMessage) -> None:
        """Queue a notice; see `PeerClient.notify`."""
        self._enqueue(peer_codec.Envelope(message=message))

    def on_peer_alive(self) -> None:
        """End the current wait between connection attempts, if any."""
        self._peer_alive.set()

    def stop(self) -> None:
        """Close the connection permanently."""
        self.is_open = False
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Maintain a connection until the idle timeout or a call of `stop`."""
        with self._cancel_scope:
            try:
                await self._connect_forever()
            finally:
                self.is_open = False
                self._fail_all(exceptions.PeerUnreachable(detail="channel closed"))

    def _enqueue(self, envelope: peer_codec.Envelope) -> None:
        size = _content_bytes(envelope.message)
        if size > peer_codec.MAX_FRAME_BYTES:
            raise exceptions.FrameTooLarge(detail=f"{size} bytes")
        is_full = (
            len(self._queue) >= self._config.max_queued
            or self._queued_bytes + size > self._config.max_queued_bytes
        )
        if is_full:
            raise exceptions.PeerQueueFull(detail=self._vm_id)
        self._queue.append(envelope)
        self._queued_bytes += size
        self._last_used_ms = self._clock.now_ms()
        self._message_queued.set()

    def _dequeue_batch(self) -> list[peer_codec.Envelope]:
        batch: list[peer_codec.Envelope] = []
        while self._queue and len(batch) < MAX_ENVELOPES_PER_WRITE:
            envelope = self._queue.popleft()
            self._queued_bytes -= _content_bytes(envelope.message)
            if self._needs_sending(envelope):
                batch.append(envelope)
                self._mark_sent(envelope.correlation)
        return batch

    def _mark_sent(self, correlation: int) -> None:
        pending = self._pending_by_correlation.get(correlation)
        if pending is not None:
            pending.is_sent = True

    def _needs_sending(self, envelope: peer_codec.Envelope) -> bool:
        """Return whether a message still needs sending.

        A request that has already timed out does not.
        """
        if not envelope.correlation or isinstance(envelope.message, pm.Ping):
            return True
        return envelope.correlation in self._pending_by_correlation

    async def _connect_forever(self) -> None:
        backoff_ms = self._config.min_backoff_ms
        link: peer_link.PeerLink | None = None
        while self.is_open:
            if link is None:
                link = await self._try_connect()
            if link is not None:
                backoff_ms = self._config.min_backoff_ms
                link = await self._run_link(link)
                if link is not None or not self.is_open:
                    continue
            if self._is_idle():
                return
            if await self._wait_before_retry(backoff_ms):
                backoff_ms = self._config.min_backoff_ms
            else:
                backoff_ms = min(2 * backoff_ms, self._config.max_backoff_ms)

    async def _wait_before_retry(self, pause_ms: int) -> bool:
        """Wait; return True if the peer was reported alive meanwhile."""
        with anyio.move_on_after(pause_ms / clock_module.MS_PER_S):
            await self._peer_alive.wait()
            self._peer_alive = anyio.Event()
            return True
        return False

    async def _try_connect(self) -> peer_link.PeerLink | None:
        host, _, port = self.address.rpartition(":")
        timeout_s = self._config.connect_timeout_ms / clock_module.MS_PER_S
        stream: anyio.abc.SocketStream | None = None
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(host, int(port))
                link = await peer_link.open_link(
                    stream,
                    secret=self._secret,
                    own_hello=self._own_hello,
                    is_client=True,
                )
        except (OSError, TimeoutError, exceptions.PeerError) as error:
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            self._fail_all(exceptions.PeerUnreachable(detail=str(error)))
            return None
        if link.peer.vm_id != self._vm_id:
            await link.close()
            self._fail_all(
                exceptions.PeerUnreachable(
                    detail="a different VM answered at this address"
                )
            )
            return None
        self.connection_count += 1
        self._last_received_ms = self._clock.now_ms()
        return link

    async def _run_link(self, link: peer_link.PeerLink) -> peer_link.PeerLink | None:
        """Run a connection until it fails; return its replacement, if any."""
        replacement: peer_link.PeerLink | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_forever, link, tasks.cancel_scope)
            tasks.start_soon(self._receive_forever, link, tasks.cancel_scope)
            replacement = await self._monitor(tasks.cancel_scope)
            tasks.cancel_scope.cancel()
        await link.close()
        self._fail_sent(exceptions.PeerUnreachable(detail="connection broke"))
        return replacement

    async def _monitor(self, scope: anyio.CancelScope) -> peer_link.PeerLink | None:
        """Ping a silent connection; return a replacement once it has stalled."""
        step_ms = max(
            1, min(self._config.ping_after_ms, self._config.stall_timeout_ms) // 4
        )
        pinged_ms = self._clock.now_ms()
        while not self._is_idle():
            await anyio.sleep(step_ms / clock_module.MS_PER_S)
            now_ms = self._clock.now_ms()
            silence_ms = now_ms - self._last_received_ms
            if silence_ms >= self._config.stall_timeout_ms:
                link = await self._try_connect()
                if link is not None:
                    return link
            if min(silence_ms, now_ms - pinged_ms) >= self._config.ping_after_ms:
                pinged_ms = now_ms
                self._enqueue_ping()
        self.is_open = False
        return None

    def _enqueue_ping(self) -> None:
        ping = peer_codec.Envelope(
            message=pm.Ping(), correlation=next(self._correlations)
        )
        self._queue.appendleft(ping)
        self._message_queued.set()

    def _is_idle(self) -> bool:
        is_unused = (
            self._clock.now_ms() - self._last_used_ms >= self._config.idle_timeout_ms
        )
        return is_unused and not self._pending_by_correlation

    async def _send_forever(
        self, link: peer_link.PeerLink, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                batch = self._dequeue_batch()
                if batch:
                    await self._send_batch(link, batch)
                    continue
                self._message_queued = anyio.Event()
                if not self._queue:
                    await self._message_queued.wait()
        except exceptions.PeerError:
            scope.cancel()

    async def _send_batch(
        self, link: peer_link.PeerLink, batch: list[peer_codec.Envelope]
    ) -> None:
        try:
            await link.send(batch)
        except exceptions.FrameTooLarge as error:
            for envelope in batch:
                self._finish(envelope.correlation, error=error)

    async def _receive_forever(
        self, link: peer_link.PeerLink, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                await self._receive_one(link)
        except exceptions.PeerError:
            scope.cancel()

    async def _receive_one(self, link: peer_link.PeerLink) -> None:
        try:
            envelope = await link.receive()
        except peer_codec.UnsupportedMessage as error:
            self._last_received_ms = self._clock.now_ms()
            self._finish(error.correlation, error=error)
            return
        self._last_received_ms = self._clock.now_ms()
        self._finish(envelope.correlation, answer=envelope.message)

    def _finish(
        self,
        correlation: int,
        *,
        answer: pm.PeerMessage | None = None,
        error: exceptions.PeerError | None = None,
    ) -> None:
        pending = self._pending_by_correlation.get(correlation)
        if pending is not None:
            pending.finish(answer=answer, error=error)

    def _fail_all(self, error: exceptions.PeerError) -> None:
        for pending in self._pending_by_correlation.values():
            pending.finish(error=error)

    def _fail_sent(self, error: exceptions.PeerError) -> None:
        for pending in self._pending_by_correlation.values():
            if pending.is_sent:
                pending.finish(error=error)


def _answer_or_raise(answer: pm.PeerMessage | None) -> pm.PeerMessage:
    if isinstance(answer, pm.Unsupported):
        raise exceptions.MessageUnsupported(
            detail=f"peer uses schema version {answer.schema_version}"
        )
    if isinstance(answer, pm.Refused):
        raise exceptions.PeerRefused(
            detail=f"{answer.code}: {answer.detail}",
            retry_after_ms=answer.retry_after_ms,
        )
    if answer is None:
        raise exceptions.PeerUnreachable(detail="no answer")
    return answer


def _content_bytes(message: pm.PeerMessage) -> int:
    if isinstance(message, pm.CatalogueRecords | pm.LedgerRecords):
        return sum(len(record.data) for record in message.records)
    content = getattr(message, "content", b"")
    return len(content)
