"""How often an entry VM tells its peers what it has in flight.

Answers the pattern of many entry VMs that share workers: if each change went to all
of them, reports would grow with the square of the VMs. Peers of the same zone, which
share the workers that a VM prefers, form a group of their own, which is smaller than
that of the others and so hears sooner.
"""

import enum

from foxtailbank.clock import MS_PER_S

MIN_GAP_MS = 12  # changes within it share a report
GAP_MS_PER_CUBE = 1 / 60  # so that datagrams a second fall fast as the peers get more
SMALL_GROUP = 13  # peers; the other zones of twenty VMs in three zones
DATAGRAMS_S = 120  # of a VM to a larger group; 23 peers hear five times a second
READ_SHARE = 0.25  # of the gap; small beside the age that reports have anyway
LARGE_GROUP = 30  # peers
MISSED_REPORTS = 3  # of an idle VM, until it counts as silent


class PeerGroup(enum.Enum):
    """Which peers a report goes to."""

    NEAR = "near"
    FAR = "far"


def idle_period_ms(peers: int) -> int:
    """Return the time between two reports of a VM without any change.

    Parameters
    ----------
    peers : int
        How many the group has.
    """
    return 500 if peers <= LARGE_GROUP else 1_000


def silence_ms(peers: int) -> int:
    """Return how long nothing is heard of a peer until it counts as silent."""
    return MISSED_REPORTS * idle_period_ms(peers)


def gap_ms(peers: int) -> float:
    """Return the shortest time between two reports to a group of peers."""
    if peers > LARGE_GROUP:
        return idle_period_ms(peers)
    if peers > SMALL_GROUP:
        return MS_PER_S * peers / DATAGRAMS_S
    rising_ms = GAP_MS_PER_CUBE * peers**3
    return max(MIN_GAP_MS, rising_ms)


def read_pause_ms(peers: int) -> float:
    """Return the pause between two readings of what a group of peers has sent.

    Reports of many peers come one by one; read together, they wake the process once.
    A small group's changes are read as they come.
    """
    gap = gap_ms(peers)
    return READ_SHARE * gap if gap > MIN_GAP_MS else 0.0
