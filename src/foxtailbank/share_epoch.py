"""Who holds shares of the fleet's limits, as agreed on the ledger."""

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
        Its incarnation.
    zone : str
        Availability zone.
    """

    vm_id: str
    incarnation: int
    zone: str

    @property
    def holder_id(self) -> str:
        """Name that no other incarnation has."""
        return f"{self.vm_id}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareEpoch:
    """Holders from one ledger record to the next.

    A holder leaves the table only when it is certain that it no longer runs.

    Attributes
    ----------
    number : int
        Grows by one with each record.
    holders : tuple of ShareHolder
        All holders.
    """

    number: int
    holders: tuple[ShareHolder, ...] = ()

    def successor(
        self, *, added: c.Iterable[ShareHolder], ended: c.Collection[str]
    ) -> "ShareEpoch":
        """Return the next epoch.

        Parameters
        ----------
        added : iterable of ShareHolder
            New holders.
        ended : collection of str
            Ids of holders that certainly no longer run.

        Returns
        -------
        ShareEpoch
            With holders in order of id.
        """
        holder_by_id = {one.holder_id: one for one in (*self.holders, *added)}
        kept = [one for key, one in sorted(holder_by_id.items()) if key not in ended]
        return ShareEpoch(number=self.number + 1, holders=tuple(kept))

    def base_units(self, *, limit_key: str, units: int) -> dict[str, int]:
        """Split a limit over the holders, by zone first.

        Parameters
        ----------
        limit_key : str
            Name of the limit; decides who gets what cannot be split evenly.
        units : int
            The limit.

        Returns
        -------
        dict of str to int
            Units by holder id; they add up to the limit if there is a holder.
        """
        units_by_holder_id: dict[str, int] = {}
        by_zone = self._ids_by_zone
        for zone, zone_units in _split(limit_key, units, by_zone).items():
            units_by_holder_id |= _split(limit_key, zone_units, by_zone[zone])
        return units_by_holder_id

    def base_of(self, holder: ShareHolder, *, limit_key: str, units: int) -> int:
        """Return one holder's part of `base_units`; 0 if it is no holder."""
        names = self._ids_by_zone.get(holder.zone, ())
        if holder.holder_id not in names:
            return 0
        zone_units = _split(limit_key, units, self._ids_by_zone)[holder.zone]
        return _split(limit_key, zone_units, names)[holder.holder_id]

    @functools.cached_property
    def _ids_by_zone(self) -> dict[str, tuple[str, ...]]:
        ids_by_zone: dict[str, list[str]] = {}
        for one in self.holders:
            ids_by_zone.setdefault(one.zone, []).append(one.holder_id)
        return {zone: tuple(names) for zone, names in ids_by_zone.items()}


def _split(limit_key: str, units: int, names: c.Iterable[str]) -> dict[str, int]:
    candidates = [ownership.Candidate(candidate_id=name) for name in names]
    if not candidates:
        return {}
    each, rest = divmod(units, len(candidates))
    order = ownership.ranked(limit_key, candidates, len(candidates))
    return {one.candidate_id: each + (rank < rest) for rank, one in enumerate(order)}
