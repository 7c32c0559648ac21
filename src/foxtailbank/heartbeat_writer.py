"""Builds heartbeats and piggybacks gossip on them, within a byte budget."""

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
REPAIR_FACT_COUNT = 4
MAX_LOADS = 8
# 1 / RESERVE_DIVISOR of a second's budget is never spent on piggybacked content.
RESERVE_DIVISOR = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnState:
    """State of this VM that its heartbeats report.

    Attributes
    ----------
    loads : tuple of PoolLoad
        Load by pool.
    catalogue_offset, ledger_offset : int
        Last applied offsets; -1 if none.
    """

    loads: tuple[pm.PoolLoad, ...] = ()
    catalogue_offset: int = -1
    ledger_offset: int = -1


class HeartbeatWriter:
    """Builds datagrams and charges each to the byte budget.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    fact_table : FactTable
        Known facts.
    offsets : AppliedOffsets
        Catalogue offsets of the VMs.
    queue : GossipQueue
        Updates waiting to be piggybacked.
    config : MembershipConfig
        Timeouts and limits.
    now_ms : int
        Current time.
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
        self._reserve_bytes = config.budget_bytes_per_s // RESERVE_DIVISOR
        self._digest_cursor = 0
        self._facts_hash_by_vm_id: dict[str, int] = {}
        self.own_state = OwnState()
        self.sequence = 0

    def record_facts_hash(self, vm_id: str, facts_hash: int) -> None:
        """Record a VM's hash over its facts, to detect that it lacks some."""
        self._facts_hash_by_vm_id[vm_id] = facts_hash

    def forget(self, vm_id: str) -> None:
        """Drop the state kept for a VM that died or left."""
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
        """Return a datagram, or nothing if the budget does not allow it.

        Parameters
        ----------
        to : MemberRecord
            Recipient.
        kind : HeartbeatKind
            Kind of request or answer.
        now_ms : int
            Current time.
        is_urgent : bool
            Whether it may overdraw the budget by one second's worth.
        **content
            Additional fields of the heartbeat.

        Returns
        -------
        tuple of SendHeartbeat
            Empty if the budget is exhausted.
        """
        minimal = self._minimal(to, kind, content)
        minimal_bytes = size_bytes(minimal)
        borrow_bytes = self._config.budget_bytes_per_s if is_urgent else 0
        if not self._budget.spend(
            minimal_bytes, now_ms=now_ms, borrow_bytes=borrow_bytes
        ):
            return ()
        free_bytes = min(
            self._config.datagram_bytes - minimal_bytes,
            self._budget.available_bytes(now_ms=now_ms) - self._reserve_bytes,
        )
        full = self._add_gossip(minimal, to, free_bytes, now_ms)
        self._budget.spend(
            size_bytes(full) - minimal_bytes, now_ms=now_ms, borrow_bytes=borrow_bytes
        )
        return (actions.SendHeartbeat(to=to.address, payload=full),)

    def _minimal(
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
        offset = self._offsets.lowest(record.vm_id for record in view.live)
        return view.digest(catalogue_offset=offset)

    def _add_gossip(
        self, minimal: pm.Heartbeat, to: pm.MemberRecord, free_bytes: int, now_ms: int
    ) -> pm.Heartbeat:
        is_same_zone = to.zone == self._table.own.zone
        digests = minimal.digests
        if is_same_zone and free_bytes > DIGEST_BYTES:
            digests += self._next_digest()
            free_bytes -= DIGEST_BYTES * (len(digests) - 1)
        keys = self._queue.take(
            limit_bytes=free_bytes,
            vm_count=self._table.live_count,
            is_relevant=lambda key: self._is_relevant(key, to, is_same_zone),
        )
        updates = [self._table.find(key) for key in keys if isinstance(key, str)]
        fact_keys = [key for key in keys if isinstance(key, tuple)]
        if not fact_keys and self._has_other_facts(to):
            fact_keys = list(self._repair_keys(free_bytes))
        found_facts = (self._facts.get(key, now_ms=now_ms) for key in fact_keys)
        return dataclasses.replace(
            minimal,
            digests=digests,
            updates=minimal.updates
            + tuple(record for record in updates if record is not None),
            facts=tuple(fact for fact in found_facts if fact is not None),
        )

    def _is_relevant(
        self, key: t.Hashable, to: pm.MemberRecord, is_same_zone: bool
    ) -> bool:
        if isinstance(key, tuple):
            return is_same_zone or key[0] not in facts.ZONE_SCOPED_KINDS
        record = self._table.find(str(key))
        if record is None or record.vm_id == to.vm_id:
            return False
        return is_same_zone or record.status is not pm.MemberStatus.SUSPECT

    def _next_digest(self) -> tuple[pm.ZoneDigest, ...]:
        zones = [
            zone for zone in self._table.view_by_zone if zone != self._table.own.zone
        ]
        if not zones:
            return ()
        self._digest_cursor += 1
        zone = zones[self._digest_cursor % len(zones)]
        return (self._table.view_by_zone[zone].digest(),)

    def _has_other_facts(self, to: pm.MemberRecord) -> bool:
        known = self._facts_hash_by_vm_id.get(to.vm_id)
        return known is not None and known != self._facts.fleet_hash

    def _repair_keys(self, free_bytes: int) -> tuple[facts.FactKey, ...]:
        chosen: list[facts.FactKey] = []
        for key in self._facts.next_keys(REPAIR_FACT_COUNT):
            free_bytes -= gossip.FACT_OVERHEAD_BYTES + len(key[1].encode())
            if free_bytes >= 0:
                chosen.append(key)
        return tuple(chosen)


def size_bytes(heartbeat: pm.Heartbeat) -> int:
    """Return an upper bound on the size of a heartbeat's datagram with headers."""
    texts = (heartbeat.recipient, heartbeat.view_zone, heartbeat.after_id)
    records = (heartbeat.sender, *heartbeat.updates)
    if heartbeat.subject is not None:
        records = (*records, heartbeat.subject)
    zones = [digest.zone for digest in heartbeat.digests]
    zones += [contact.zone for contact in heartbeat.contacts]
    return (
        UDP_HEADER_BYTES
        + BASE_BYTES
        + sum(len(text.encode()) for text in (*texts, heartbeat.through_id))
        + sum(gossip.member_bytes(record) for record in records)
        + sum(gossip.fact_bytes(fact) for fact in heartbeat.facts)
        + sum(LOAD_BYTES + len(load.pool.encode()) for load in heartbeat.loads)
        + sum(len(zone.encode()) for zone in zones)
        + DIGEST_BYTES * len(heartbeat.digests)
        + AGE_BYTES * len(heartbeat.contacts)
    )
