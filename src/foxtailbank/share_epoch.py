"""Holders of shares of the fleet's limits, and how limits are split over them."""

import collections.abc as c
import dataclasses
import functools

from foxtailbank import ownership


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareHolder:
    """One incarnation of a VM that holds shares.

    Attributes
    ----------
    vm_id : str
        VM.
    incarnation : int
        Incarnation of the VM.
    zone : str
        Availability zone.
    """

    vm_id: str
    incarnation: int
    zone: str

    @property
    def holder_id(self) -> str:
        """Id, unique to this incarnation."""
        return f"{self.vm_id}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareEpoch:
    """Set of holders between two ledger records.

    A holder is removed only once it is certain that it no longer runs.

    Attributes
    ----------
    number : int
        Increases by one with each record.
    holders : tuple of ShareHolder
        All holders.
    """

    number: int
    holders: tuple[ShareHolder, ...] = ()

    def successor(
        self, *, added: c.Iterable[ShareHolder], stopped_ids: c.Collection[str]
    ) -> "ShareEpoch":
        """Return the next epoch.

        Parameters
        ----------
        added : iterable of ShareHolder
            New holders.
        stopped_ids : collection of str
            Ids of holders that are certain to have stopped.

        Returns
        -------
        ShareEpoch
            Its holders are sorted by id.
        """
        holder_by_id = {holder.holder_id: holder for holder in (*self.holders, *added)}
        kept = [
            holder
            for holder_id, holder in sorted(holder_by_id.items())
            if holder_id not in stopped_ids
        ]
        return ShareEpoch(number=self.number + 1, holders=tuple(kept))

    def base_units(self, *, limit_key: str, units: int) -> dict[str, int]:
        """Split a limit evenly over the zones, then over the holders of each zone.

        Parameters
        ----------
        limit_key : str
            Name of the limit; determines who gets the remainder of the division.
        units : int
            Units to split.

        Returns
        -------
        dict of str to int
            Units by holder id; they add up to `units` if there is a holder.
        """
        units_by_holder_id: dict[str, int] = {}
        by_zone = self._ids_by_zone
        for zone, zone_units in _split(limit_key, units, by_zone).items():
            units_by_holder_id |= _split(limit_key, zone_units, by_zone[zone])
        return units_by_holder_id

    def base_units_of(self, holder: ShareHolder, *, limit_key: str, units: int) -> int:
        """Return one holder's part of `base_units`; 0 if it is not in this epoch."""
        zone_ids = self._ids_by_zone.get(holder.zone, ())
        if holder.holder_id not in zone_ids:
            return 0
        zone_units = _split(limit_key, units, self._ids_by_zone)[holder.zone]
        return _split(limit_key, zone_units, zone_ids)[holder.holder_id]

    @functools.cached_property
    def _ids_by_zone(self) -> dict[str, tuple[str, ...]]:
        ids_by_zone: dict[str, list[str]] = {}
        for holder in self.holders:
            ids_by_zone.setdefault(holder.zone, []).append(holder.holder_id)
        return {zone: tuple(zone_ids) for zone, zone_ids in ids_by_zone.items()}


def _split(limit_key: str, units: int, ids: c.Iterable[str]) -> dict[str, int]:
    candidates = [
        ownership.Candidate(candidate_id=candidate_id) for candidate_id in ids
    ]
    if not candidates:
        return {}
    each, remainder = divmod(units, len(candidates))
    order = ownership.ranked(limit_key, candidates, len(candidates))
    return {
        candidate.candidate_id: each + (rank < remainder)
        for rank, candidate in enumerate(order)
    }
