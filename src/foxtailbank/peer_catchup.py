"""Exchange of log records between VMs, for a VM that cannot reach the log."""

import collections.abc as c
import dataclasses

from foxtailbank import log_service

RETRY_MS = 1000
MAX_BATCH_BYTES = 256 << 10
MAX_TRACKED_PEERS = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class PullRecords:
    """Request to a peer for records.

    Attributes
    ----------
    peer_id : str
        Peer to ask.
    from_offset : int
        Offset of the first record missing on this VM.
    max_bytes : int
        Limit on the total content.
    """

    peer_id: str
    from_offset: int
    max_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordBatch:
    """Contiguous records, starting at an offset.

    Attributes
    ----------
    from_offset : int
        Offset of the first record; a state with all lower offsets applied can apply
        the batch.
    records : tuple of LogRecord
        Ordered by offset.
    end_offset : int
        Offset after the last record applied by the sender.
    """

    from_offset: int
    records: tuple[log_service.LogRecord, ...]
    end_offset: int


class PeerCatchup:
    """Tracks the progress of peers on one stream and chooses what to request.

    Parameters
    ----------
    next_offset : int
        Offset of the first record not applied on this VM.
    max_bytes : int
        Limit on the content of one batch.
    """

    def __init__(
        self, *, next_offset: int = 0, max_bytes: int = MAX_BATCH_BYTES
    ) -> None:
        self.next_offset = next_offset
        self._max_bytes = max_bytes
        self._end_by_peer_id: dict[str, int] = {}
        self._requested_at_ms: int | None = None
        self._requested_peer_id = ""

    def on_applied(self, next_offset: int) -> None:
        """Record that this VM has applied all records below an offset."""
        if next_offset > self.next_offset:
            self.next_offset = next_offset
            self._requested_at_ms = None

    def on_peer_progress(self, peer_id: str, end_offset: int) -> None:
        """Record the offset after the last record applied by a peer."""
        self._end_by_peer_id.pop(peer_id, None)
        self._end_by_peer_id[peer_id] = end_offset
        if len(self._end_by_peer_id) > MAX_TRACKED_PEERS:
            del self._end_by_peer_id[next(iter(self._end_by_peer_id))]

    def remove_peer(self, peer_id: str) -> None:
        """Stop tracking a peer that has departed."""
        self._end_by_peer_id.pop(peer_id, None)
        if peer_id == self._requested_peer_id:
            self._requested_at_ms = None

    def peers_behind(self, peer_ids: c.Iterable[str]) -> tuple[str, ...]:
        """Return the peers known to be behind this VM."""
        return tuple(
            peer_id
            for peer_id in peer_ids
            if self._end_by_peer_id.get(peer_id, self.next_offset) < self.next_offset
        )

    def accept(
        self, batch: RecordBatch, *, peer_id: str
    ) -> tuple[log_service.LogRecord, ...]:
        """Return the records of a batch that can be applied now.

        Parameters
        ----------
        batch : RecordBatch
            Batch received from a peer.
        peer_id : str
            Sender of the batch.

        Returns
        -------
        tuple of LogRecord
            Empty if the batch starts after a gap; `next_pull` then asks for the rest.
        """
        self.on_peer_progress(peer_id, batch.end_offset)
        if peer_id == self._requested_peer_id:
            self._requested_at_ms = None
        if batch.from_offset > self.next_offset:
            return ()
        return tuple(
            record for record in batch.records if record.offset >= self.next_offset
        )

    def next_pull(self, *, now_ms: int) -> PullRecords | None:
        """Return the next request, if a peer has records missing on this VM.

        Parameters
        ----------
        now_ms : int
            Current time, in milliseconds.

        Returns
        -------
        PullRecords or None
            None while a request is outstanding. After `RETRY_MS` without a response
            the next peer is asked.
        """
        if (
            self._requested_at_ms is not None
            and now_ms - self._requested_at_ms < RETRY_MS
        ):
            return None
        ahead = sorted(
            peer_id
            for peer_id, end_offset in self._end_by_peer_id.items()
            if end_offset > self.next_offset
        )
        if not ahead:
            return None
        later = [peer_id for peer_id in ahead if peer_id > self._requested_peer_id]
        is_retry = self._requested_at_ms is not None
        keeps_peer = self._requested_peer_id in ahead and not is_retry
        if not keeps_peer:
            self._requested_peer_id = later[0] if later else ahead[0]
        self._requested_at_ms = now_ms
        return PullRecords(
            peer_id=self._requested_peer_id,
            from_offset=self.next_offset,
            max_bytes=self._max_bytes,
        )


def make_batch(
    records: c.Iterable[log_service.LogRecord],
    *,
    from_offset: int,
    end_offset: int,
    max_bytes: int,
) -> RecordBatch:
    """Return the batch to send in response to a `PullRecords`.

    Parameters
    ----------
    records : iterable of LogRecord
        Available records, ordered by offset and contiguous up to ``end_offset``.
    from_offset : int
        Offset of the first record requested; the available records must include it.
    end_offset : int
        Offset after the last available record.
    max_bytes : int
        Limit on the total content. The first record is returned even if it is larger.

    Returns
    -------
    RecordBatch
        Starts at ``from_offset``.
    """
    chosen: list[log_service.LogRecord] = []
    used_bytes = 0
    for record in records:
        if record.offset < from_offset:
            continue
        used_bytes += len(record.data)
        if chosen and used_bytes > min(max_bytes, MAX_BATCH_BYTES):
            break
        chosen.append(record)
    return RecordBatch(
        from_offset=from_offset, records=tuple(chosen), end_offset=end_offset
    )
