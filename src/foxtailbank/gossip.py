"""Updates that ride on heartbeats, each a bounded number of times."""

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
class _Rumor:
    size_bytes: int
    sent: int = 0


class GossipQueue:
    """Keys of updates that are to be spread, least sent first.

    Each key is handed out ``RETRANSMIT_FACTOR * log2(VMs + 1)`` times, which
    reaches all VMs with high probability.
    """

    def __init__(self) -> None:
        self._rumor_by_key: dict[t.Hashable, _Rumor] = {}

    def __len__(self) -> int:
        return len(self._rumor_by_key)

    def put(self, key: t.Hashable, *, size_bytes: int) -> None:
        """Spread a key anew.

        Parameters
        ----------
        key : hashable
            Names the update; its content is looked up when it is sent.
        size_bytes : int
            Size in a datagram.
        """
        self._rumor_by_key[key] = _Rumor(size_bytes=size_bytes)

    def discard(self, key: t.Hashable) -> None:
        """Stop spreading a key."""
        self._rumor_by_key.pop(key, None)

    def take(
        self,
        *,
        limit_bytes: int,
        vm_count: int,
        wanted: t.Callable[[t.Hashable], bool] = lambda _: True,
    ) -> tuple[t.Hashable, ...]:
        """Return the keys for one datagram.

        Parameters
        ----------
        limit_bytes : int
            Bound on their size together.
        vm_count : int
            VMs that are to be reached.
        wanted : callable
            Tells which keys fit the recipient.

        Returns
        -------
        tuple of hashable
            Least sent first.
        """
        limit_sent = RETRANSMIT_FACTOR * math.ceil(math.log2(vm_count + 2))
        fitting = [
            (rumor.sent, index, key, rumor)
            for index, (key, rumor) in enumerate(self._rumor_by_key.items())
            if wanted(key)
        ]
        heapq.heapify(fitting)
        taken: list[t.Hashable] = []
        while fitting and limit_bytes > 0:
            _, _, key, rumor = heapq.heappop(fitting)
            if rumor.size_bytes > limit_bytes:
                continue
            limit_bytes -= rumor.size_bytes
            rumor.sent += 1
            taken.append(key)
            if rumor.sent >= limit_sent:
                del self._rumor_by_key[key]
        return tuple(taken)
