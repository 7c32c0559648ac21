"""Keeps a VM up to date from its peers when the log does not."""

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

PERIOD_MS = 500
STALE_MS = 1_500
RECORDS_BYTES = 256 * 1024
REQUEST_MS = 3_000
KEEP_PARTS_MS = 30_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _KeptState:
    covers_offset: int
    parts: tuple[bytes, ...]
    digest: int
    at_ms: int


class PeerSync:
    """Asks peers for records, or for their state where records are missing.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rng : random.Random
        Chooses whom to ask.
    peering : Peering
        The other entry VMs.
    streams : sequence of ReplicatedStream
        What is kept up to date.

    Attributes
    ----------
    synced_names : set of str
        Streams for which this VM has been level with a peer.
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
        self._kept_by_name: dict[str, _KeptState] = {}
        self.synced_names: set[str] = set()
        peering.handlers.on_request(pm.RecordsRequest, self._answer_records)
        peering.handlers.on_request(pm.SnapshotRequest, self._answer_snapshot)

    async def run(self) -> None:
        """Ask peers while the log gives nothing, until cancelled."""
        while True:
            for stream in self._streams_by_name.values():
                if self._is_stale(stream):
                    await self._ask_anyone(stream)
            await anyio.sleep(PERIOD_MS / MS_PER_S)

    def _is_stale(self, stream: ReplicatedStream) -> bool:
        age_ms = stream.tailer.age_ms()
        return age_ms is None or age_ms > STALE_MS or stream.tailer.resyncing

    async def _ask_anyone(self, stream: ReplicatedStream) -> None:
        others = self._peering.others()
        if not others:
            return
        peer = self._rng.choice(others)
        try:
            await self._ask(stream, peer.vm_id)
        except FoxtailbankError:
            return

    async def _ask(self, stream: ReplicatedStream, vm_id: str) -> None:
        request = pm.RecordsRequest(
            stream=stream.name,
            from_offset=stream.tailer.next_offset,
            max_bytes=RECORDS_BYTES,
        )
        answer = await self._peering.client.request(
            vm_id, request, timeout_ms=REQUEST_MS
        )
        if not isinstance(answer, pm.CatalogueRecords | pm.LedgerRecords):
            return
        missing = answer.from_offset > stream.tailer.next_offset
        if missing or not stream.offer(answer.records):
            await self._take_state(stream, vm_id)
        if stream.tailer.next_offset >= answer.end_offset:
            self.synced_names.add(stream.name)

    async def _take_state(self, stream: ReplicatedStream, vm_id: str) -> None:
        parts: list[bytes] = []
        first: pm.SnapshotPart | None = None
        while first is None or len(parts) < first.count:
            request = pm.SnapshotRequest(stream=stream.name, index=len(parts))
            part = await self._peering.client.request(
                vm_id, request, timeout_ms=REQUEST_MS
            )
            if not isinstance(part, pm.SnapshotPart):
                return
            if first is not None and part.digest != first.digest:
                raise StateInvalid(detail="the peer's state changed meanwhile")
            first = first or part
            parts.append(part.content)
        if _digest(tuple(parts)) != first.digest:
            raise StateInvalid(detail="damaged on the way")
        if first.covers_offset >= stream.tailer.next_offset:
            stream.restore(tuple(parts))
            stream.tailer.restored(first.covers_offset + 1)

    async def _answer_records(
        self, peer_id: str, request: pm.RecordsRequest
    ) -> pm.PeerMessage:
        stream = self._stream(request.stream)
        end_offset = stream.covers_offset() + 1
        records = stream.cache.since(
            request.from_offset, max_bytes=min(request.max_bytes, RECORDS_BYTES)
        )
        from_offset = request.from_offset
        if isinstance(records, Missing):
            # Nothing is missing to a peer that has everything.
            from_offset = max(from_offset, end_offset)
            records = ()
        kind = pm.CatalogueRecords if stream.name == "catalogue" else pm.LedgerRecords
        return kind(from_offset=from_offset, records=records, end_offset=end_offset)

    async def _answer_snapshot(
        self, peer_id: str, request: pm.SnapshotRequest
    ) -> pm.PeerMessage:
        stream = self._stream(request.stream)
        kept = self._kept_state(stream, fresh=request.index == 0)
        if not 0 <= request.index < len(kept.parts):
            raise NotFound(detail=f"no part {request.index} of {stream.name}")
        return pm.SnapshotPart(
            stream=stream.name,
            covers_offset=kept.covers_offset,
            index=request.index,
            count=len(kept.parts),
            digest=kept.digest,
            content=kept.parts[request.index],
        )

    def _kept_state(self, stream: ReplicatedStream, *, fresh: bool) -> _KeptState:
        kept = self._kept_by_name.get(stream.name)
        now_ms = self._clock.now_ms()
        current = stream.covers_offset()
        is_old = kept is None or now_ms - kept.at_ms > KEEP_PARTS_MS
        if kept is None or is_old or (fresh and kept.covers_offset != current):
            parts = stream.state_parts()
            kept = _KeptState(
                covers_offset=current,
                parts=parts,
                digest=_digest(parts),
                at_ms=now_ms,
            )
            self._kept_by_name[stream.name] = kept
        return kept

    def _stream(self, name: str) -> ReplicatedStream:
        stream = self._streams_by_name.get(name)
        if stream is None:
            raise NotFound(detail=f"no stream {name}")
        return stream


def _digest(parts: tuple[bytes, ...]) -> int:
    return xxhash.xxh3_64_intdigest(b"".join(parts))
