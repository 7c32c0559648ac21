"""Known entry VMs of one availability zone."""

import typing as t

import xxhash

from foxtailbank import peer_messages as pm

# Records of dead and departed VMs are kept this long.
TOMBSTONE_RETENTION_MS = 120_000
LIVE_STATUSES = (pm.MemberStatus.ALIVE, pm.MemberStatus.SUSPECT)


def supersedes(new: pm.MemberRecord, old: pm.MemberRecord) -> bool:
    """Return whether a record is newer than another of the same VM."""
    new_rank = (new.incarnation, new.revision, new.status)
    return new_rank > (old.incarnation, old.revision, old.status)


class ZoneView:
    """Records of one zone's VMs; merging is idempotent and commutative.

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
        """Merge a record.

        Parameters
        ----------
        record : MemberRecord
            Record of a VM of this zone.
        now_ms : int
            Current time.

        Returns
        -------
        bool
            Whether it was newer than the known record.
        """
        known = self.record_by_vm_id.get(record.vm_id)
        if known is not None and not supersedes(record, known):
            return False
        self.record_by_vm_id[record.vm_id] = record
        self._merged_at_by_vm_id[record.vm_id] = now_ms
        if record.status in LIVE_STATUSES:
            self._ended_at_by_vm_id.pop(record.vm_id, None)
        else:
            self._ended_at_by_vm_id[record.vm_id] = now_ms
        self._is_stale = True
        return True

    def remove(self, vm_id: str) -> None:
        """Drop all data of a VM."""
        self._is_stale = True
        self._ended_at_by_vm_id.pop(vm_id, None)
        self._merged_at_by_vm_id.pop(vm_id, None)
        self.record_by_vm_id.pop(vm_id, None)

    def missing_from_part(
        self,
        *,
        present_ids: t.Collection[str],
        after_id: str,
        through_id: str,
        merged_before_ms: int,
    ) -> tuple[pm.MemberRecord, ...]:
        """Return live VMs that are missing from a complete part of another view.

        Parameters
        ----------
        present_ids : collection of str
            VM ids in the part.
        after_id, through_id : str
            Range of ids that the part covers, the first excluded and the last
            included; an empty ``through_id`` means no upper bound.
        merged_before_ms : int
            VMs whose record was merged at or after this time are omitted.

        Returns
        -------
        tuple of MemberRecord
            Sorted by id.
        """
        return tuple(
            record
            for record in self.live
            if record.vm_id > after_id
            and (not through_id or record.vm_id <= through_id)
            and record.vm_id not in present_ids
            and self._merged_at_by_vm_id[record.vm_id] < merged_before_ms
        )

    def expire(self, *, now_ms: int) -> None:
        """Drop records of VMs that died or left long ago."""
        for vm_id, ended_at_ms in list(self._ended_at_by_vm_id.items()):
            if now_ms - ended_at_ms >= TOMBSTONE_RETENTION_MS:
                self.remove(vm_id)

    @property
    def live(self) -> tuple[pm.MemberRecord, ...]:
        """VMs that are alive or suspected, sorted by id."""
        self._refresh()
        return self._live

    @property
    def view_hash(self) -> int:
        """Hash over ids, incarnations and addresses of the live VMs."""
        self._refresh()
        return self._hash

    def digest(self, *, catalogue_offset: int = -1) -> pm.ZoneDigest:
        """Return a summary that other VMs compare with their own."""
        return pm.ZoneDigest(
            zone=self.zone,
            count=len(self.live),
            view_hash=self.view_hash,
            catalogue_offset=catalogue_offset,
        )

    def read_part(
        self, *, after_id: str, limit_bytes: int, size_of: t.Callable[..., int]
    ) -> tuple[tuple[pm.MemberRecord, ...], str]:
        """Return records after an id, including those of dead and departed VMs.

        Parameters
        ----------
        after_id : str
            Only records with a greater id are returned.
        limit_bytes : int
            Maximum total size; one record is returned even if it is larger.
        size_of : callable
            Returns the size of a record in bytes.

        Returns
        -------
        records : tuple of MemberRecord
            Sorted by id.
        through_id : str
            Last id covered; empty if no ids follow.
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
        self._live = tuple(
            record for _, record in ordered if record.status in LIVE_STATUSES
        )
        digest = xxhash.xxh3_64()
        for record in self._live:
            digest.update(f"{record.vm_id}\0{record.incarnation}\0{record.address}\0")
        self._hash = digest.intdigest()
        self._is_stale = False
