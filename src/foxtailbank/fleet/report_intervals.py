"""Intervals at which an entry VM reports its load to its peers.

If every change were sent to all VMs, the number of datagrams would grow with the
square of the number of VMs, so the interval grows with the number of peers. Peers in
the same zone share the workers that a VM prefers. They form a group of their own,
which is smaller than that of the other zones and so gets reports more often.
"""

import enum

from foxtailbank.clock import MS_PER_S

MIN_INTERVAL_MS = 12  # changes within it are sent in one report
# The cubic growth makes the total of datagrams per second fall as peers are added.
INTERVAL_MS_PER_CUBED_PEERS = 1 / 60
SMALL_GROUP = 13  # peers; the number in other zones for 20 VMs in three zones
# Sent by one VM to a group above SMALL_GROUP; 23 peers get five reports per second.
MAX_DATAGRAMS_PER_S = 120
READ_PAUSE_SHARE = 0.25  # of the interval; adds little to the age of reports
LARGE_GROUP = 30  # peers
CELL_READ_PAUSE_MS = 20  # in a zone that is split into cells
MISSED_REPORTS_LIMIT = 3  # reports of an idle VM before it counts as silent


class PeerGroup(enum.Enum):
    """Peers that get reports at the same interval.

    `CELL` are those in the cell of this VM (see `report_cells`), `NEAR` the others in
    its zone, `FAR` those in other zones.
    """

    CELL = "cell"
    NEAR = "near"
    FAR = "far"


def idle_interval_ms(peers: int) -> int:
    """Return the report interval of a VM whose load does not change.

    Parameters
    ----------
    peers : int
        Number of peers in the group.
    """
    return 500 if peers <= LARGE_GROUP else 1_000


def silence_timeout_ms(peers: int) -> int:
    """Return after how long without a report a peer counts as silent."""
    return MISSED_REPORTS_LIMIT * idle_interval_ms(peers)


def min_interval_ms(peers: int) -> float:
    """Return the shortest time between two reports to a group of peers."""
    if peers > LARGE_GROUP:
        return idle_interval_ms(peers)
    if peers > SMALL_GROUP:
        return MS_PER_S * peers / MAX_DATAGRAMS_PER_S
    interval_ms = INTERVAL_MS_PER_CUBED_PEERS * peers**3
    return max(MIN_INTERVAL_MS, interval_ms)


def send_interval_ms(group: PeerGroup, peers: int, *, is_split: bool) -> float:
    """Return the shortest time between two reports to a group of peers.

    Parameters
    ----------
    group : PeerGroup
        The group.
    peers : int
        Number of peers in it.
    is_split : bool
        Whether the zone is split into several cells.
    """
    interval_ms = min_interval_ms(peers)
    if group is PeerGroup.FAR or not is_split:
        return interval_ms
    if group is PeerGroup.CELL:
        return max(interval_ms, MS_PER_S * peers / MAX_DATAGRAMS_PER_S)
    return max(interval_ms, idle_interval_ms(peers))


def read_pause_ms(peers: int, *, is_split: bool = False) -> float:
    """Return the pause between two reads of the reports of a group of peers.

    Reports of many peers arrive one by one; reading them in batches wakes the process
    less often. Reports of a small group are read immediately.

    Parameters
    ----------
    peers : int
        Number of peers in the zone.
    is_split : bool
        Whether the zone is split into several cells.
    """
    if is_split:
        return CELL_READ_PAUSE_MS
    interval_ms = min_interval_ms(peers)
    return READ_PAUSE_SHARE * interval_ms if interval_ms > MIN_INTERVAL_MS else 0.0
