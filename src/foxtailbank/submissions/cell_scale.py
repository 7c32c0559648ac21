"""Scales the online load of a cell to that of its zone.

The load of the own cell is known within 0.1 s, that of the rest of the zone up to a
second later. Some cells have busier VMs than others, which the means of the two show.
"""

SAMPLE_WEIGHT = 0.01  # ten samples a second: the means are of the last 10 s
MAX_FACTOR = 2.0  # also divides; a cell without load says nothing about its zone


class CellScale:
    """Learns by how much the load of a zone exceeds that of one of its cells."""

    def __init__(self) -> None:
        self._cell_mean = 0.0
        self._zone_mean = 0.0

    def scale(self, cell_share: float, zone_share: float) -> float:
        """Add a sample and return the load of the zone that the cell's one shows.

        Parameters
        ----------
        cell_share, zone_share : float
            Online requests in flight divided by slots.
        """
        self._cell_mean += SAMPLE_WEIGHT * (cell_share - self._cell_mean)
        self._zone_mean += SAMPLE_WEIGHT * (zone_share - self._zone_mean)
        most = MAX_FACTOR * self._cell_mean
        least = self._cell_mean / MAX_FACTOR
        if not self._cell_mean:
            return cell_share
        factor = min(most, max(least, self._zone_mean)) / self._cell_mean
        return factor * cell_share
