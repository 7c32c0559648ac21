"""Parts of the fleet's limits that one VM may use; all parts add up to the limit."""

from foxtailbank.admission import LimitShare
from foxtailbank.entry import Entry, EntryLimits
from foxtailbank.share_epoch import ShareEpoch, ShareHolder

MILLI = 1_000


class LimitShares:
    """Splits limits over all entry VMs that are known, cut off or not.

    A VM that is cut off keeps its part, and the others don't take it over.

    Parameters
    ----------
    vm_id, zone : str
        This VM and its availability zone.
    """

    def __init__(self, *, vm_id: str, zone: str) -> None:
        self._own = ShareHolder(vm_id=vm_id, incarnation=0, zone=zone)
        self._zones_by_id = {vm_id: zone}
        self._epoch = ShareEpoch(number=0, holders=(self._own,))

    def set_vms(self, zones_by_id: dict[str, str]) -> bool:
        """Take the known entry VMs; return whether parts change.

        Parameters
        ----------
        zones_by_id : dict of str to str
            Availability zone of each entry VM; this one need not be among them.
        """
        zones_by_id = zones_by_id | {self._own.vm_id: self._own.zone}
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
        """Return this VM's part of an entry's limits.

        Parameters
        ----------
        entry : Entry
            The entry, with the limits for the whole fleet.
        """
        limits = entry.limits
        concurrency = self._part(entry, limits.concurrency)
        burst = self._part(entry, max(1, round(limits.requests_per_s)))
        return LimitShare(
            requests_milli_per_s=self._part(
                entry, round(limits.requests_per_s * MILLI)
            ),
            requests_burst=max(1, burst),
            # 0 would lift the limit on tokens.
            tokens_milli_per_s=max(
                1, self._part(entry, round(limits.tokens_per_s * MILLI))
            ),
            tokens_burst=max(limits.max_tokens, self._tokens_burst(entry, limits)),
            concurrency=max(1, concurrency),
            closed=not concurrency or not burst,
        )

    def _tokens_burst(self, entry: Entry, limits: EntryLimits) -> int:
        return self._part(entry, round(limits.tokens_per_s))

    def _part(self, entry: Entry, units: int) -> int:
        return self._epoch.base_of(self._own, limit_key=entry.name, units=units)
