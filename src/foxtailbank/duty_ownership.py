"""Choice of the one entry VM that performs a duty for the fleet."""

from foxtailbank.ownership import Candidate, owner_of
from foxtailbank.peering import Peering


class DutyOwnership:
    """Assigns each duty to one live entry VM by hashing.

    Parameters
    ----------
    vm_id : str
        Name of this VM.
    peering : Peering
        The other entry VMs.
    """

    def __init__(self, *, vm_id: str, peering: Peering) -> None:
        self._vm_id = vm_id
        self._peering = peering

    def is_owner(self, duty: str) -> bool:
        """Return whether this VM performs a duty.

        Parameters
        ----------
        duty : str
            Name of the duty, the same on every VM.
        """
        live = [
            Candidate(candidate_id=peer.vm_id, zone=peer.zone)
            for peer in self._peering.live_vms()
        ]
        owner = owner_of(duty, live)
        return isinstance(owner, Candidate) and owner.candidate_id == self._vm_id
