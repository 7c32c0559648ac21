"""How often an entry VM tells its peers what it has in flight.

Answers the pattern of many entry VMs that share workers: if each change went to all
of them, reports would grow with the square of the VMs. Peers of the same zone, which
share the workers that a VM prefers, form a group of their own, which is smaller than
that of the others and so hears sooner.
"""

import enum

IDLE_PERIOD_MS = 500  # liveness of a VM without any change
MIN_GAP_MS = 12  # changes within it share a report
GAP_MS_PER_SQUARE = 0.25  # so that datagrams a second fall as the peers get more


class PeerGroup(enum.Enum):
    """Which peers a report goes to."""

    NEAR = "near"
    FAR = "far"


def gap_ms(peers: int) -> float:
    """Return the shortest time between two reports to a group of peers.

    Parameters
    ----------
    peers : int
        How many they are.
    """
    return min(max(MIN_GAP_MS, GAP_MS_PER_SQUARE * peers * peers), IDLE_PERIOD_MS)
