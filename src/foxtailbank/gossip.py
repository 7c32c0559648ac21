"""Queue of updates piggybacked on heartbeats, each a bounded number of times."""

import dataclasses
import heapq
import math
import typing as t

from foxtailbank import peer_messages as pm

RETRANSMIT_FACTOR = 3
MEMBER_OVERHEAD_BYTES = 40
FACT_OVERHEAD_BYTES = 32


def member_bytes(record: pm.MemberRecord) -> int:
    """Return an upper bound on a record's size in a datagram."""
    texts = (record.vm_id, record.zone, record.address)
    return MEMBER_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


def fact_bytes(fact: pm.Fact) -> int:
    """Return an upper bound on a fact's size in a datagram."""
    return FACT_OVERHEAD_BYTES + len(fact.subject.encode())


@dataclasses.dataclass(kw_only=True)
class _QueuedUpdate:
    size_bytes: int
    sent_count: int = 0


class GossipQueue:
    """Keys of updates to send, least often sent first.

    Each key is sent ``RETRANSMIT_FACTOR * ceil(log2(VMs + 2))`` times, which
    reaches all VMs with high probability.
    """

    def __init__(self) -> None:
        self._update_by_key: dict[t.Hashable, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._update_by_key)

    def put(self, key: t.Hashable, *, size_bytes: int) -> None:
        """Queue a key, or reset how often it was sent.

        Parameters
        ----------
        key : hashable
            Identifies the update; its content is looked up when it is sent.
        size_bytes : int
            Size in a datagram.
        """
        self._update_by_key[key] = _QueuedUpdate(size_bytes=size_bytes)

    def discard(self, key: t.Hashable) -> None:
        """Remove a key if it is queued."""
        self._update_by_key.pop(key, None)

    def take(
        self,
        *,
        limit_bytes: int,
        vm_count: int,
        is_relevant: t.Callable[[t.Hashable], bool] = lambda _: True,
    ) -> tuple[t.Hashable, ...]:
        """Return the keys for one datagram.

        Parameters
        ----------
        limit_bytes : int
            Maximum total size.
        vm_count : int
            Number of VMs to reach.
        is_relevant : callable
            Returns whether the recipient needs a key.

        Returns
        -------
        tuple of hashable
            Least often sent first.
        """
        max_sent = RETRANSMIT_FACTOR * math.ceil(math.log2(vm_count + 2))
        candidates = [
            (update.sent_count, index, key, update)
            for index, (key, update) in enumerate(self._update_by_key.items())
            if is_relevant(key)
        ]
        heapq.heapify(candidates)
        chosen: list[t.Hashable] = []
        while candidates and limit_bytes > 0:
            _, _, key, update = heapq.heappop(candidates)
            if update.size_bytes > limit_bytes:
                continue
            limit_bytes -= update.size_bytes
            update.sent_count += 1
            chosen.append(key)
            if update.sent_count >= max_sent:
                del self._update_by_key[key]
        return tuple(chosen)
