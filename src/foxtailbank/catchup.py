"""Passing log records on between VMs, so that one cut off from the log keeps up."""

import collections.abc as c
import dataclasses

from foxtailbank import log_service

RETRY_MS = 1000
MAX_BATCH_BYTES = 256 << 10
MAX_PEERS_REMEMBERED = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class PullRecords:
    """Ask a peer for records.

    Attributes
    ----------
    peer_id : str
        Whom to ask.
    from_offset : int
        First offset that is missing here.
    max_bytes : int
        Bound on the content.
    """

    peer_id: str
    from_offset: int
    max_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordBatch:
    """Records that leave no gap from an offset on.

    Attributes
    ----------
    from_offset : int
        The state before the first record covers all offsets below.
    records : tuple of LogRecord
        In order of offset.
    end_offset : int
        Offset after the last record that the sender has applied.
    """

    from_offset: int
    records: tuple[log_service.LogRecord, ...]
    end_offset: int


class Catchup:
    """What peers have of one stream, and what is to be asked of them.

    Parameters
    ----------
    next_offset : int
        First offset that is not applied here.
    max_bytes : int
        Bound on the content of one batch.
    """

    def __init__(
        self, *, next_offset: int = 0, max_bytes: int = MAX_BATCH_BYTES
    ) -> None:
        self.next_offset = next_offset
        self._max_bytes = max_bytes
        self._end_by_peer_id: dict[str, int] = {}
        self._asked_ms: int | None = None
        self._asked_peer_id = ""

    def applied(self, next_offset: int) -> None:
        """Note that this VM applied all records below an offset."""
        if next_offset > self.next_offset:
            self.next_offset = next_offset
            self._asked_ms = None

    def peer_has(self, peer_id: str, end_offset: int) -> None:
        """Note the offset after the last record that a peer has applied."""
        self._end_by_peer_id.pop(peer_id, None)
        self._end_by_peer_id[peer_id] = end_offset
        if len(self._end_by_peer_id) > MAX_PEERS_REMEMBERED:
            del self._end_by_peer_id[next(iter(self._end_by_peer_id))]

    def forget(self, peer_id: str) -> None:
        """Forget a peer that ended."""
        self._end_by_peer_id.pop(peer_id, None)
        if peer_id == self._asked_peer_id:
            self._asked_ms = None

    def lacking(self, peer_ids: c.Iterable[str]) -> tuple[str, ...]:
        """Return those peers that are known to lack records held here."""
        return tuple(
            peer_id
            for peer_id in peer_ids
            if self._end_by_peer_id.get(peer_id, self.next_offset) < self.next_offset
        )

    def take(
        self, batch: RecordBatch, *, peer_id: str
    ) -> tuple[log_service.LogRecord, ...]:
        """Return the records of a batch that are to be applied now.

        Parameters
        ----------
        batch : RecordBatch
            What a peer sent.
        peer_id : str
            The peer.

        Returns
        -------
        tuple of LogRecord
            Empty if the batch starts after a gap; `pull` then asks for the rest.
        """
        self.peer_has(peer_id, batch.end_offset)
        if peer_id == self._asked_peer_id:
            self._asked_ms = None
        if batch.from_offset > self.next_offset:
            return ()
        return tuple(one for one in batch.records if one.offset >= self.next_offset)

    def pull(self, *, now_ms: int) -> PullRecords | None:
        """Return what to ask a peer for, if one has what is missing here.

        Parameters
        ----------
        now_ms : int
            Present time.

        Returns
        -------
        PullRecords or None
            One request at a time; after `RETRY_MS` without an answer the next
            peer is asked.
        """
        if self._asked_ms is not None and now_ms - self._asked_ms < RETRY_MS:
            return None
        ahead = sorted(
            peer_id
            for peer_id, end_offset in self._end_by_peer_id.items()
            if end_offset > self.next_offset
        )
        if not ahead:
            return None
        later = [peer_id for peer_id in ahead if peer_id > self._asked_peer_id]
        is_retry = self._asked_ms is not None
        keeps_peer = self._asked_peer_id in ahead and not is_retry
        if not keeps_peer:
            self._asked_peer_id = later[0] if later else ahead[0]
        self._asked_ms = now_ms
        return PullRecords(
            peer_id=self._asked_peer_id,
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
    """Return the batch that answers a pull.

    Parameters
    ----------
    records : iterable of LogRecord
        Records held, in order of offset, without a gap up to ``end_offset``.
    from_offset : int
        First offset wanted; the records must reach back to it.
    end_offset : int
        Offset after the last record held.
    max_bytes : int
        Bound on the content; at least one record is returned.

    Returns
    -------
    RecordBatch
        Starts at ``from_offset``.
    """
    chosen: list[log_service.LogRecord] = []
    used_bytes = 0
    for one in records:
        if one.offset < from_offset:
            continue
        used_bytes += len(one.data)
        if chosen and used_bytes > min(max_bytes, MAX_BATCH_BYTES):
            break
        chosen.append(one)
    return RecordBatch(
        from_offset=from_offset, records=tuple(chosen), end_offset=end_offset
    )
