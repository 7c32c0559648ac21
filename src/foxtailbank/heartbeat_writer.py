"""Filling heartbeats with what is worth telling, within the byte budget."""

import dataclasses
import typing as t

from foxtailbank import applied_offsets, byte_budget, facts, gossip, member_table
from foxtailbank import membership_actions as actions
from foxtailbank import membership_config as config_module
from foxtailbank import peer_messages as pm

UDP_HEADER_BYTES = 28
BASE_BYTES = 100
DIGEST_BYTES = 32
LOAD_BYTES = 14
AGE_BYTES = 14
REPAIR_FACTS = 4
MAX_LOADS = 8
RESERVE_FRACTION = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnState:
    """What this VM tells of itself.

    Attributes
    ----------
    loads : tuple of PoolLoad
        Load by pool.
    catalogue_offset, ledger_offset : int
        Offsets applied; -1 if none.
    """

    loads: tuple[pm.PoolLoad, ...] = ()
    catalogue_offset: int = -1
    ledger_offset: int = -1


class HeartbeatWriter:
    """Makes datagrams; each costs bytes of the budget.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    fact_table : FactTable
        Known facts.
    offsets : AppliedOffsets
        Catalogue offsets of the VMs.
    queue : GossipQueue
        Updates to piggyback.
    config : MembershipConfig
        Bounds.
    now_ms : int
        Present time.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        fact_table: facts.FactTable,
        offsets: applied_offsets.AppliedOffsets,
        queue: gossip.GossipQueue,
        config: config_module.MembershipConfig,
        now_ms: int,
    ) -> None:
        self._table = table
        self._facts = fact_table
        self._offsets = offsets
        self._queue = queue
        self._config = config
        self._budget = byte_budget.ByteBudget(
            bytes_per_s=config.budget_bytes_per_s, now_ms=now_ms
        )
        self._reserve_bytes = config.budget_bytes_per_s // RESERVE_FRACTION
        self._digest_cursor = 0
        self._facts_hash_by_vm_id: dict[str, int] = {}
        self.own_state = OwnState()
        self.sequence = 0

    def note_facts_hash(self, vm_id: str, facts_hash: int) -> None:
        """Note what facts a VM holds, so that it can be told missing ones."""
        self._facts_hash_by_vm_id[vm_id] = facts_hash

    def forget(self, vm_id: str) -> None:
        """Forget a VM that ended."""
        self._facts_hash_by_vm_id.pop(vm_id, None)

    def write(
        self,
        to: pm.MemberRecord,
        kind: pm.HeartbeatKind,
        *,
        now_ms: int,
        is_urgent: bool = False,
        **content: t.Any,
    ) -> tuple[actions.SendHeartbeat, ...]:
        """Return a datagram.

        Parameters
        ----------
        to : MemberRecord
            Recipient.
        kind : HeartbeatKind
            What it asks or answers.
        now_ms : int
            Present time.
        is_urgent : bool
            Whether it may borrow a second's worth of the budget.
        **content
            Further fields of the heartbeat.

        Returns
        -------
        tuple of SendHeartbeat
            Empty if the budget is used up.
        """
        bare = self._bare(to, kind, content)
        bare_bytes = size_bytes(bare)
        borrow_bytes = self._config.budget_bytes_per_s if is_urgent else 0
        if not self._budget.spend(bare_bytes, now_ms=now_ms, borrow_bytes=borrow_bytes):
            return ()
        room_bytes = min(
            self._config.datagram_bytes - bare_bytes,
            self._budget.available_bytes(now_ms=now_ms) - self._reserve_bytes,
        )
        full = self._fill(bare, to, room_bytes, now_ms)
        self._budget.spend(
            size_bytes(full) - bare_bytes, now_ms=now_ms, borrow_bytes=borrow_bytes
        )
        return (actions.SendHeartbeat(to=to.address, payload=full),)

    def _bare(
        self, to: pm.MemberRecord, kind: pm.HeartbeatKind, content: dict[str, t.Any]
    ) -> pm.Heartbeat:
        self.sequence += 1
        own = self._table.own
        return pm.Heartbeat(
            kind=kind,
            sender=own,
            sequence=self.sequence,
            recipient=to.vm_id,
            digests=(self._own_digest(),),
            loads=self.own_state.loads[:MAX_LOADS],
            catalogue_offset=self.own_state.catalogue_offset,
            ledger_offset=self.own_state.ledger_offset,
            facts_hash=self._facts.fleet_hash,
            **content,
        )

    def _own_digest(self) -> pm.ZoneDigest:
        view = self._table.own_view
        offset = self._offsets.lowest(one.vm_id for one in view.live)
        return view.digest(catalogue_offset=offset)

    def _fill(
        self, bare: pm.Heartbeat, to: pm.MemberRecord, room_bytes: int, now_ms: int
    ) -> pm.Heartbeat:
        is_near = to.zone == self._table.own.zone
        digests = bare.digests
        if is_near and room_bytes > DIGEST_BYTES:
            digests += self._next_digest()
            room_bytes -= DIGEST_BYTES * (len(digests) - 1)
        keys = self._queue.take(
            limit_bytes=room_bytes,
            vm_count=self._table.live_count,
            wanted=lambda key: self._is_wanted(key, to, is_near),
        )
        updates = [self._table.find(key) for key in keys if isinstance(key, str)]
        fact_keys = [key for key in keys if isinstance(key, tuple)]
        if not fact_keys and self._lacks_facts(to):
            fact_keys = list(self._repair_keys(room_bytes))
        told = (self._facts.get(key, now_ms=now_ms) for key in fact_keys)
        return dataclasses.replace(
            bare,
            digests=digests,
            updates=bare.updates + tuple(one for one in updates if one is not None),
            facts=tuple(one for one in told if one is not None),
        )

    def _is_wanted(self, key: t.Hashable, to: pm.MemberRecord, is_near: bool) -> bool:
        if isinstance(key, tuple):
            return is_near or key[0] not in facts.ZONE_KINDS
        record = self._table.find(str(key))
        if record is None or record.vm_id == to.vm_id:
            return False
        return is_near or record.status is not pm.MemberStatus.SUSPECT

    def _next_digest(self) -> tuple[pm.ZoneDigest, ...]:
        zones = [
            zone for zone in self._table.view_by_zone if zone != self._table.own.zone
        ]
        if not zones:
            return ()
        self._digest_cursor += 1
        zone = zones[self._digest_cursor % len(zones)]
        return (self._table.view_by_zone[zone].digest(),)

    def _lacks_facts(self, to: pm.MemberRecord) -> bool:
        known = self._facts_hash_by_vm_id.get(to.vm_id)
        return known is not None and known != self._facts.fleet_hash

    def _repair_keys(self, room_bytes: int) -> tuple[facts.FactKey, ...]:
        fitting: list[facts.FactKey] = []
        for key in self._facts.rotate(REPAIR_FACTS):
            room_bytes -= gossip.FACT_OVERHEAD_BYTES + len(key[1].encode())
            if room_bytes >= 0:
                fitting.append(key)
        return tuple(fitting)


def size_bytes(heartbeat: pm.Heartbeat) -> int:
    """Return an upper bound on a heartbeat's datagram, headers included."""
    texts = (heartbeat.recipient, heartbeat.view_zone, heartbeat.after_id)
    records = (heartbeat.sender, *heartbeat.updates)
    if heartbeat.subject is not None:
        records = (*records, heartbeat.subject)
    zones = [one.zone for one in heartbeat.digests]
    zones += [one.zone for one in heartbeat.contacts]
    return (
        UDP_HEADER_BYTES
        + BASE_BYTES
        + sum(len(text.encode()) for text in (*texts, heartbeat.through_id))
        + sum(gossip.member_bytes(one) for one in records)
        + sum(gossip.fact_bytes(one) for one in heartbeat.facts)
        + sum(LOAD_BYTES + len(one.pool.encode()) for one in heartbeat.loads)
        + sum(len(zone.encode()) for zone in zones)
        + DIGEST_BYTES * len(heartbeat.digests)
        + AGE_BYTES * len(heartbeat.contacts)
    )
