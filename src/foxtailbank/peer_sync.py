"""Catches up from peers while the log is unavailable or behind."""

import dataclasses
import random

import anyio
import xxhash

from foxtailbank import peer_messages as pm
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.exceptions import FoxtailbankError, NotFound
from foxtailbank.peering import Peering
from foxtailbank.replicated_stream import ReplicatedStream, StateInvalid
from foxtailbank.sentinels import Missing

CHECK_INTERVAL_MS = 500
STALE_AFTER_MS = 1_500
MAX_RECORDS_BYTES = 256 * 1024
REQUEST_TIMEOUT_MS = 3_000
SNAPSHOT_MAX_AGE_MS = 30_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _CachedSnapshot:
    covers_offset: int
    parts: tuple[bytes, ...]
    digest: int
    created_ms: int


class PeerSync:
    """Fetches records from peers, or a snapshot if records are missing.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : random.Random
        Selects the peer to ask.
    peering : Peering
        Connections to the other entry VMs.
    streams : sequence of ReplicatedStream
        Streams to keep up to date.

    Attributes
    ----------
    synced_streams : set of str
        Names of the streams for which this VM has caught up with a peer.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        peering: Peering,
        streams: tuple[ReplicatedStream, ...],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._peering = peering
        self._streams_by_name = {stream.name: stream for stream in streams}
        self._snapshot_by_stream: dict[str, _CachedSnapshot] = {}
        self.synced_streams: set[str] = set()
        peering.handlers.set_request_handler(pm.RecordsRequest, self._answer_records)
        peering.handlers.set_request_handler(pm.SnapshotRequest, self._answer_snapshot)

    async def run(self) -> None:
        """Sync stale streams from peers until cancelled."""
        while True:
            for stream in self._streams_by_name.values():
                if self._is_stale(stream):
                    await self._sync_with_random_peer(stream)
            await anyio.sleep(CHECK_INTERVAL_MS / MS_PER_S)

    def _is_stale(self, stream: ReplicatedStream) -> bool:
        age_ms = stream.tailer.age_ms()
        return age_ms is None or age_ms > STALE_AFTER_MS or stream.tailer.is_resyncing

    async def _sync_with_random_peer(self, stream: ReplicatedStream) -> None:
        peers = self._peering.live_peers()
        if not peers:
            return
        peer = self._rng.choice(peers)
        try:
            await self._sync_with(stream, peer.vm_id)
        except FoxtailbankError:
            return

    async def _sync_with(self, stream: ReplicatedStream, vm_id: str) -> None:
        request = pm.RecordsRequest(
            stream=stream.name,
            from_offset=stream.tailer.next_offset,
            max_bytes=MAX_RECORDS_BYTES,
        )
        answer = await self._peering.client.request(
            vm_id, request, timeout_ms=REQUEST_TIMEOUT_MS
        )
        if not isinstance(answer, pm.CatalogueRecords | pm.LedgerRecords):
            return
        has_gap = answer.from_offset > stream.tailer.next_offset
        if has_gap or not stream.offer(answer.records):
            await self._fetch_snapshot(stream, vm_id)
        if stream.tailer.next_offset >= answer.end_offset:
            self.synced_streams.add(stream.name)

    async def _fetch_snapshot(self, stream: ReplicatedStream, vm_id: str) -> None:
        parts: list[bytes] = []
        first: pm.SnapshotPart | None = None
        while first is None or len(parts) < first.count:
            request = pm.SnapshotRequest(stream=stream.name, index=len(parts))
            part = await self._peering.client.request(
                vm_id, request, timeout_ms=REQUEST_TIMEOUT_MS
            )
            if not isinstance(part, pm.SnapshotPart):
                return
            if first is not None and part.digest != first.digest:
                raise StateInvalid(detail="peer state changed during the transfer")
            first = first or part
            parts.append(part.content)
        if _digest(tuple(parts)) != first.digest:
            raise StateInvalid(detail="snapshot digest does not match its parts")
        if first.covers_offset >= stream.tailer.next_offset:
            stream.restore(tuple(parts))
            stream.tailer.on_state_restored(first.covers_offset + 1)

    async def _answer_records(
        self, peer_id: str, request: pm.RecordsRequest
    ) -> pm.PeerMessage:
        stream = self._stream(request.stream)
        end_offset = stream.covers_offset() + 1
        records = stream.cache.since(
            request.from_offset, max_bytes=min(request.max_bytes, MAX_RECORDS_BYTES)
        )
        from_offset = request.from_offset
        if isinstance(records, Missing):
            # A peer that is already at the end has no records missing.
            from_offset = max(from_offset, end_offset)
            records = ()
        message_type = (
            pm.CatalogueRecords if stream.name == "catalogue" else pm.LedgerRecords
        )
        return message_type(
            from_offset=from_offset, records=records, end_offset=end_offset
        )

    async def _answer_snapshot(
        self, peer_id: str, request: pm.SnapshotRequest
    ) -> pm.PeerMessage:
        stream = self._stream(request.stream)
        snapshot = self._snapshot(stream, refresh=request.index == 0)
        if not 0 <= request.index < len(snapshot.parts):
            raise NotFound(detail=f"no part {request.index} of {stream.name}")
        return pm.SnapshotPart(
            stream=stream.name,
            covers_offset=snapshot.covers_offset,
            index=request.index,
            count=len(snapshot.parts),
            digest=snapshot.digest,
            content=snapshot.parts[request.index],
        )

    def _snapshot(self, stream: ReplicatedStream, *, refresh: bool) -> _CachedSnapshot:
        snapshot = self._snapshot_by_stream.get(stream.name)
        now_ms = self._clock.now_ms()
        current = stream.covers_offset()
        is_expired = (
            snapshot is None or now_ms - snapshot.created_ms > SNAPSHOT_MAX_AGE_MS
        )
        if (
            snapshot is None
            or is_expired
            or (refresh and snapshot.covers_offset != current)
        ):
            parts = stream.state_parts()
            snapshot = _CachedSnapshot(
                covers_offset=current,
                parts=parts,
                digest=_digest(parts),
                created_ms=now_ms,
            )
            self._snapshot_by_stream[stream.name] = snapshot
        return snapshot

    def _stream(self, name: str) -> ReplicatedStream:
        stream = self._streams_by_name.get(name)
        if stream is None:
            raise NotFound(detail=f"no stream {name}")
        return stream


def _digest(parts: tuple[bytes, ...]) -> int:
    return xxhash.xxh3_64_intdigest(b"".join(parts))
