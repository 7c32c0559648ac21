"""How often an entry VM tells its peers what it has in flight.

Answers the pattern of many entry VMs that share workers: if each change went to all
of them, reports would grow with the square of the VMs. Peers of the same zone, which
share the workers that a VM prefers, are told soon; the others less often as they get
more.
"""

import enum

IDLE_PERIOD_MS = 500  # liveness of a VM without any change
MIN_GAP_MS = 12  # changes within it share a report


class PeerGroup(enum.Enum):
    """Which peers a report goes to."""

    NEAR = "near"
    FAR = "far"


# The gap rises with the square of the peers, so that the datagrams a second fall.
_GAP_MS_PER_SQUARE = {PeerGroup.NEAR: 0.1, PeerGroup.FAR: 0.25}


def gap_ms(group: PeerGroup, peers: int) -> float:
    """Return the shortest time between two reports to a group of peers.

    Parameters
    ----------
    group : PeerGroup
        Whether they are in the same zone.
    peers : int
        How many they are.
    """
    rising_ms = _GAP_MS_PER_SQUARE[group] * peers * peers
    return min(max(MIN_GAP_MS, rising_ms), IDLE_PERIOD_MS)
