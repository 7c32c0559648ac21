"""What a VM knows of the VMs of one availability zone."""

import typing as t

import xxhash

from foxtailbank import peer_messages as pm

TOMBSTONE_MS = 120_000
LIVE = (pm.MemberStatus.ALIVE, pm.MemberStatus.SUSPECT)


def supersedes(new: pm.MemberRecord, old: pm.MemberRecord) -> bool:
    """Return whether a record is newer than another of the same VM."""
    new_rank = (new.incarnation, new.revision, new.status)
    return new_rank > (old.incarnation, old.revision, old.status)


class ZoneView:
    """Records of one zone's VMs; merging is idempotent and needs no order.

    Parameters
    ----------
    zone : str
        Availability zone.
    """

    def __init__(self, *, zone: str) -> None:
        self.zone = zone
        self.record_by_vm_id: dict[str, pm.MemberRecord] = {}
        self._ended_at_by_vm_id: dict[str, int] = {}
        self._merged_at_by_vm_id: dict[str, int] = {}
        self._hash = 0
        self._live: tuple[pm.MemberRecord, ...] = ()
        self._is_stale = False

    def merge(self, record: pm.MemberRecord, *, now_ms: int) -> bool:
        """Take in a record.

        Parameters
        ----------
        record : MemberRecord
            Record of a VM of this zone.
        now_ms : int
            Present time.

        Returns
        -------
        bool
            Whether it was newer than what was known.
        """
        known = self.record_by_vm_id.get(record.vm_id)
        if known is not None and not supersedes(record, known):
            return False
        self.record_by_vm_id[record.vm_id] = record
        self._merged_at_by_vm_id[record.vm_id] = now_ms
        if record.status in LIVE:
            self._ended_at_by_vm_id.pop(record.vm_id, None)
        else:
            self._ended_at_by_vm_id[record.vm_id] = now_ms
        self._is_stale = True
        return True

    def remove(self, vm_id: str) -> None:
        """Forget a VM."""
        self._is_stale = True
        self._ended_at_by_vm_id.pop(vm_id, None)
        self._merged_at_by_vm_id.pop(vm_id, None)
        self.record_by_vm_id.pop(vm_id, None)

    def absent(
        self,
        *,
        present: t.Collection[str],
        after_id: str,
        through_id: str,
        settled_before_ms: int,
    ) -> tuple[pm.MemberRecord, ...]:
        """Return live VMs that a complete part of another view does not have.

        Parameters
        ----------
        present : collection of str
            Ids in the part.
        after_id, through_id : str
            Range of ids that the part covers; an empty end means all above.
        settled_before_ms : int
            VMs whose record changed later are left out.

        Returns
        -------
        tuple of MemberRecord
            In order of id.
        """
        return tuple(
            one
            for one in self.live
            if one.vm_id > after_id
            and (not through_id or one.vm_id <= through_id)
            and one.vm_id not in present
            and self._merged_at_by_vm_id[one.vm_id] < settled_before_ms
        )

    def expire(self, *, now_ms: int) -> None:
        """Forget VMs that ended long ago."""
        for vm_id, ended_at_ms in list(self._ended_at_by_vm_id.items()):
            if now_ms - ended_at_ms >= TOMBSTONE_MS:
                self.remove(vm_id)

    @property
    def live(self) -> tuple[pm.MemberRecord, ...]:
        """VMs that are alive or only suspected, in order of id."""
        self._refresh()
        return self._live

    @property
    def view_hash(self) -> int:
        """Hash over the live VMs with their incarnations."""
        self._refresh()
        return self._hash

    def digest(self, *, catalogue_offset: int = -1) -> pm.ZoneDigest:
        """Return the summary that other VMs compare theirs with."""
        return pm.ZoneDigest(
            zone=self.zone,
            count=len(self.live),
            view_hash=self.view_hash,
            catalogue_offset=catalogue_offset,
        )

    def part(
        self, *, after_id: str, limit_bytes: int, size_of: t.Callable[..., int]
    ) -> tuple[tuple[pm.MemberRecord, ...], str]:
        """Return records after an id, ended ones included.

        Parameters
        ----------
        after_id : str
            Only ids above it are returned.
        limit_bytes : int
            Bound on their size together.
        size_of : callable
            Gives a record's size in bytes.

        Returns
        -------
        records : tuple of MemberRecord
            In order of id.
        through_id : str
            Last id covered; empty if no further ids follow.
        """
        chosen: list[pm.MemberRecord] = []
        used_bytes = 0
        for vm_id in sorted(self.record_by_vm_id):
            if vm_id <= after_id:
                continue
            record = self.record_by_vm_id[vm_id]
            used_bytes += size_of(record)
            if chosen and used_bytes > limit_bytes:
                return tuple(chosen), chosen[-1].vm_id
            chosen.append(record)
        return tuple(chosen), ""

    def _refresh(self) -> None:
        if not self._is_stale:
            return
        ordered = sorted(self.record_by_vm_id.items())
        self._live = tuple(one for _, one in ordered if one.status in LIVE)
        digest = xxhash.xxh3_64()
        for one in self._live:
            digest.update(f"{one.vm_id}\0{one.incarnation}\0{one.address}\0")
        self._hash = digest.intdigest()
        self._is_stale = False
