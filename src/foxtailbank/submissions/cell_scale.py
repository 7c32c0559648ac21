"""Scales the online load of a cell to that of its zone.

The load of the own cell is known within 0.1 s, that of the rest of the zone up to a
second later. Some cells have busier VMs than others, which the means of the two show.
"""

SAMPLE_INTERVAL_MS = 300  # the load of the zone is a sum over all workers
SAMPLE_WEIGHT = 0.03  # the means are of the last 10 s
MAX_FACTOR = 2.0  # also divides; a cell without load says nothing about its zone


class CellScale:
    """Learns by how much the load of a zone exceeds that of one of its cells."""

    def __init__(self) -> None:
        self._cell_mean = 0.0
        self._zone_mean = 0.0
        self._added_ms: int | None = None

    def is_due(self, now_ms: int) -> bool:
        """Return whether it is time for the next sample."""
        return self._added_ms is None or now_ms - self._added_ms >= SAMPLE_INTERVAL_MS

    def add(self, cell_share: float, zone_share: float, now_ms: int) -> None:
        """Add a sample.

        Parameters
        ----------
        cell_share, zone_share : float
            Online requests in flight divided by slots.
        now_ms : int
            Current time.
        """
        self._added_ms = now_ms
        self._cell_mean += SAMPLE_WEIGHT * (cell_share - self._cell_mean)
        self._zone_mean += SAMPLE_WEIGHT * (zone_share - self._zone_mean)

    def scale(self, cell_share: float) -> float:
        """Return the load of the zone that a load of the cell shows."""
        if not self._cell_mean:
            return cell_share
        factor = self._zone_mean / self._cell_mean
        return min(MAX_FACTOR, max(1 / MAX_FACTOR, factor)) * cell_share
