"""Messages to one entry VM over a connection that is renewed when it fails."""

import collections
import dataclasses
import itertools

import anyio

from foxtailbank import clock as clock_module
from foxtailbank import exceptions, peer_codec, peer_link
from foxtailbank import peer_messages as pm

MAX_BATCH = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChannelConfig:
    """Times and bounds of a channel.

    Attributes
    ----------
    connect_timeout_ms : int
        Time to open a connection.
    ping_ms : int
        Time without a message received after which a ping is sent.
    stalled_ms : int
        Time without a message received after which the connection is replaced.
    backoff_ms, max_backoff_ms : int
        First and longest wait between attempts to connect.
    idle_ms : int
        Time without use after which the connection is closed.
    max_waiting : int
        Messages that may wait to be sent.
    max_waiting_bytes : int
        Bound on the content of notices and requests that wait.
    """

    connect_timeout_ms: int = 2000
    ping_ms: int = 1000
    stalled_ms: int = 3000
    backoff_ms: int = 50
    max_backoff_ms: int = 2000
    idle_ms: int = 60_000
    max_waiting: int = 1024
    max_waiting_bytes: int = 4 << 20


class _Waiter:
    """Place for the answer to one request."""

    def __init__(self) -> None:
        self.answered = anyio.Event()
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
        self.answered.set()


class PeerChannel:
    """Requests and notices to one VM.

    Parameters
    ----------
    vm_id, address : str
        Whom to connect to.
    own : Hello
        This VM.
    secret : bytes
        Secret that all entry VMs share.
    clock : Clock
        Source of time.
    config : ChannelConfig
        Times and bounds.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        address: str,
        own: pm.Hello,
        secret: bytes,
        clock: clock_module.Clock,
        config: ChannelConfig,
    ) -> None:
        self.address = address
        self.is_open = True
        self.connection_count = 0
        self._vm_id = vm_id
        self._own = own
        self._secret = secret
        self._clock = clock
        self._config = config
        self._waiting: collections.deque[peer_codec.Envelope] = collections.deque()
        self._waiting_bytes = 0
        self._wake = anyio.Event()
        self._reachable = anyio.Event()
        self._waiter_by_correlation: dict[int, _Waiter] = {}
        self._correlations = itertools.count(1)
        self._scope = anyio.CancelScope()
        self._received_ms = clock.now_ms()
        self._used_ms = clock.now_ms()

    async def request(
        self, message: pm.PeerMessage, *, timeout_ms: int
    ) -> pm.PeerMessage:
        """Return the VM's answer; see `PeerClient.request`."""
        correlation = next(self._correlations)
        waiter = _Waiter()
        self._put(peer_codec.Envelope(message=message, correlation=correlation))
        self._waiter_by_correlation[correlation] = waiter
        try:
            with anyio.fail_after(timeout_ms / clock_module.MS_PER_S):
                await waiter.answered.wait()
        except TimeoutError as error:
            raise exceptions.PeerTimeout(detail=self._vm_id) from error
        finally:
            del self._waiter_by_correlation[correlation]
        if waiter.error is not None:
            raise waiter.error
        return _checked(waiter.answer)

    def notify(self, message: pm.PeerMessage) -> None:
        """Queue a notice; see `PeerClient.notify`."""
        self._put(peer_codec.Envelope(message=message))

    def on_peer_alive(self) -> None:
        """Connect at once if a pause after a failed attempt is under way."""
        self._reachable.set()

    def stop(self) -> None:
        """Close the connection for good."""
        self.is_open = False
        self._scope.cancel()

    async def run(self) -> None:
        """Keep a connection until it was idle for long, or `stop` is called."""
        with self._scope:
            try:
                await self._connect_forever()
            finally:
                self.is_open = False
                self._fail_all(exceptions.PeerUnreachable(detail="channel closed"))

    def _put(self, envelope: peer_codec.Envelope) -> None:
        size = _content_bytes(envelope.message)
        if size > peer_codec.MAX_FRAME_BYTES:
            raise exceptions.FrameTooLarge(detail=f"{size} bytes")
        is_full = (
            len(self._waiting) >= self._config.max_waiting
            or self._waiting_bytes + size > self._config.max_waiting_bytes
        )
        if is_full:
            raise exceptions.PeerQueueFull(detail=self._vm_id)
        self._waiting.append(envelope)
        self._waiting_bytes += size
        self._used_ms = self._clock.now_ms()
        self._wake.set()

    def _take(self) -> list[peer_codec.Envelope]:
        batch: list[peer_codec.Envelope] = []
        while self._waiting and len(batch) < MAX_BATCH:
            envelope = self._waiting.popleft()
            self._waiting_bytes -= _content_bytes(envelope.message)
            if self._is_wanted(envelope):
                batch.append(envelope)
                self._mark_sent(envelope.correlation)
        return batch

    def _mark_sent(self, correlation: int) -> None:
        waiter = self._waiter_by_correlation.get(correlation)
        if waiter is not None:
            waiter.is_sent = True

    def _is_wanted(self, envelope: peer_codec.Envelope) -> bool:
        """Tell whether somebody still waits for a request's answer."""
        if not envelope.correlation or isinstance(envelope.message, pm.Ping):
            return True
        return envelope.correlation in self._waiter_by_correlation

    async def _connect_forever(self) -> None:
        backoff_ms = self._config.backoff_ms
        link: peer_link.PeerLink | None = None
        while self.is_open:
            if link is None:
                link = await self._try_connect()
            if link is not None:
                backoff_ms = self._config.backoff_ms
                link = await self._use(link)
                if link is not None or not self.is_open:
                    continue
            if self._is_idle():
                return
            if await self._pause(backoff_ms):
                backoff_ms = self._config.backoff_ms
            else:
                backoff_ms = min(2 * backoff_ms, self._config.max_backoff_ms)

    async def _pause(self, pause_ms: int) -> bool:
        """Wait; true if the wait ended early, since the peer lives."""
        with anyio.move_on_after(pause_ms / clock_module.MS_PER_S):
            await self._reachable.wait()
            self._reachable = anyio.Event()
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
                    stream, secret=self._secret, own=self._own, is_client=True
                )
        except (OSError, TimeoutError, exceptions.PeerError) as error:
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            self._fail_all(exceptions.PeerUnreachable(detail=str(error)))
            return None
        if link.peer.vm_id != self._vm_id:
            await link.close()
            self._fail_all(exceptions.PeerUnreachable(detail="another VM answered"))
            return None
        self.connection_count += 1
        self._received_ms = self._clock.now_ms()
        return link

    async def _use(self, link: peer_link.PeerLink) -> peer_link.PeerLink | None:
        """Use a connection until it fails; return its successor, if any."""
        successor: peer_link.PeerLink | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_forever, link, tasks.cancel_scope)
            tasks.start_soon(self._receive_forever, link, tasks.cancel_scope)
            successor = await self._watch(tasks.cancel_scope)
            tasks.cancel_scope.cancel()
        await link.close()
        self._fail_sent(exceptions.PeerUnreachable(detail="connection broke"))
        return successor

    async def _watch(self, scope: anyio.CancelScope) -> peer_link.PeerLink | None:
        """Ping when nothing arrives; return a new connection after a stall."""
        step_ms = max(1, min(self._config.ping_ms, self._config.stalled_ms) // 4)
        pinged_ms = self._clock.now_ms()
        while not self._is_idle():
            await anyio.sleep(step_ms / clock_module.MS_PER_S)
            now_ms = self._clock.now_ms()
            quiet_ms = now_ms - self._received_ms
            if quiet_ms >= self._config.stalled_ms:
                link = await self._try_connect()
                if link is not None:
                    return link
            if min(quiet_ms, now_ms - pinged_ms) >= self._config.ping_ms:
                pinged_ms = now_ms
                self._put_ping()
        self.is_open = False
        return None

    def _put_ping(self) -> None:
        ping = peer_codec.Envelope(
            message=pm.Ping(), correlation=next(self._correlations)
        )
        self._waiting.appendleft(ping)
        self._wake.set()

    def _is_idle(self) -> bool:
        is_quiet = self._clock.now_ms() - self._used_ms >= self._config.idle_ms
        return is_quiet and not self._waiter_by_correlation

    async def _send_forever(
        self, link: peer_link.PeerLink, scope: anyio.CancelScope
    ) -> None:
        try:
            while True:
                batch = self._take()
                if batch:
                    await self._send_batch(link, batch)
                    continue
                self._wake = anyio.Event()
                if not self._waiting:
                    await self._wake.wait()
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
            self._received_ms = self._clock.now_ms()
            self._finish(error.correlation, error=error)
            return
        self._received_ms = self._clock.now_ms()
        self._finish(envelope.correlation, answer=envelope.message)

    def _finish(
        self,
        correlation: int,
        *,
        answer: pm.PeerMessage | None = None,
        error: exceptions.PeerError | None = None,
    ) -> None:
        waiter = self._waiter_by_correlation.get(correlation)
        if waiter is not None:
            waiter.finish(answer=answer, error=error)

    def _fail_all(self, error: exceptions.PeerError) -> None:
        for waiter in self._waiter_by_correlation.values():
            waiter.finish(error=error)

    def _fail_sent(self, error: exceptions.PeerError) -> None:
        for waiter in self._waiter_by_correlation.values():
            if waiter.is_sent:
                waiter.finish(error=error)


def _checked(answer: pm.PeerMessage | None) -> pm.PeerMessage:
    if isinstance(answer, pm.Unsupported):
        raise exceptions.MessageUnsupported(
            detail=f"peer speaks schema version {answer.schema_version}"
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
        return sum(len(one.data) for one in message.records)
    content = getattr(message, "content", b"")
    return len(content)
