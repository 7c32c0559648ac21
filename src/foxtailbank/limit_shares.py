"""Shares of fleet-wide limits; the shares of all VMs add up to the limit."""

from foxtailbank.admission import LimitShare
from foxtailbank.entry import Entry, EntryLimits
from foxtailbank.share_epoch import ShareEpoch, ShareHolder

MILLI_PER_UNIT = 1_000


class LimitShares:
    """Splits limits over all known entry VMs, whether or not they are reachable.

    A VM that is cut off from the network keeps its share; the others don't use it.

    Parameters
    ----------
    vm_id, zone : str
        Name of this VM and its availability zone.
    """

    def __init__(self, *, vm_id: str, zone: str) -> None:
        self._holder = ShareHolder(vm_id=vm_id, incarnation=0, zone=zone)
        self._zones_by_id = {vm_id: zone}
        self._epoch = ShareEpoch(number=0, holders=(self._holder,))

    def set_vms(self, zones_by_id: dict[str, str]) -> bool:
        """Set the known entry VMs; return whether they changed.

        Parameters
        ----------
        zones_by_id : dict of str to str
            Availability zone of each entry VM; this VM is added if it is missing.
        """
        zones_by_id = zones_by_id | {self._holder.vm_id: self._holder.zone}
        if zones_by_id == self._zones_by_id:
            return False
        self._zones_by_id = zones_by_id
        holders = tuple(
            ShareHolder(vm_id=vm_id, incarnation=0, zone=zone)
            for vm_id, zone in sorted(zones_by_id.items())
        )
        self._epoch = ShareEpoch(number=self._epoch.number + 1, holders=holders)
        return True

    def share_of(self, entry: Entry) -> LimitShare:
        """Return this VM's share of an entry's limits.

        Parameters
        ----------
        entry : Entry
            The entry, with its fleet-wide limits.
        """
        limits = entry.limits
        concurrency = self._units_of(entry, limits.concurrency)
        burst = self._units_of(entry, max(1, round(limits.requests_per_s)))
        return LimitShare(
            requests_milli_per_s=self._units_of(
                entry, round(limits.requests_per_s * MILLI_PER_UNIT)
            ),
            requests_burst=max(1, burst),
            # A rate of 0 would mean no token limit.
            tokens_milli_per_s=max(
                1, self._units_of(entry, round(limits.tokens_per_s * MILLI_PER_UNIT))
            ),
            tokens_burst=max(limits.max_tokens, self._tokens_burst(entry, limits)),
            concurrency=max(1, concurrency),
            closed=not concurrency or not burst,
        )

    def _tokens_burst(self, entry: Entry, limits: EntryLimits) -> int:
        return self._units_of(entry, round(limits.tokens_per_s))

    def _units_of(self, entry: Entry, units: int) -> int:
        return self._epoch.base_units_of(
            self._holder, limit_key=entry.name, units=units
        )
