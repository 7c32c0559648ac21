"""Bound on the time between online tokens that batch work has to respect."""

import abc

GAP_RATIO = 1.05
PERCENTILE = 99
FIRST_OBJECTIVE_MS = 30.0
_FIRST_WEIGHT = 500.0
_WINDOW_WEIGHT = 200_000.0


class GapObjective(abc.ABC):
    """Gives the bound, and learns from what online would see without batch."""

    @abc.abstractmethod
    def objective_ms(self) -> float:
        """Return the bound in milliseconds."""

    @abc.abstractmethod
    def observe(self, *, baseline_gap_ms: float, online_streams: int) -> None:
        """Take in a step.

        Parameters
        ----------
        baseline_gap_ms : float
            How long the step would have taken without batch streams, in
            milliseconds.
        online_streams : int
            Online streams that got a token in it.
        """


class FixedGapObjective(GapObjective):
    """Bound that an operator sets.

    Parameters
    ----------
    objective_ms : float
        The bound in milliseconds.
    """

    def __init__(self, *, objective_ms: float) -> None:
        self._objective_ms = objective_ms

    def objective_ms(self) -> float:
        """Return the bound in milliseconds."""
        return self._objective_ms

    def observe(self, *, baseline_gap_ms: float, online_streams: int) -> None:
        """Ignore the step."""


class RelativeGapObjective(GapObjective):
    """Multiple of the 99th percentile that online would see without batch.

    Parameters
    ----------
    ratio : float
        The multiple.
    first_objective_ms : float
        Bound until enough steps were seen, in milliseconds.
    """

    def __init__(
        self,
        *,
        ratio: float = GAP_RATIO,
        first_objective_ms: float = FIRST_OBJECTIVE_MS,
    ) -> None:
        self._ratio = ratio
        self._weights_by_ms: dict[int, float] = {}
        self._total = 0.0
        self._percentile_ms = first_objective_ms / ratio
        self._until_update = _FIRST_WEIGHT

    def objective_ms(self) -> float:
        """Return the bound in milliseconds."""
        return self._ratio * self._percentile_ms

    def observe(self, *, baseline_gap_ms: float, online_streams: int) -> None:
        """Take in a step, weighed by its online streams."""
        key = int(baseline_gap_ms)
        self._weights_by_ms[key] = self._weights_by_ms.get(key, 0.0) + online_streams
        self._total += online_streams
        self._until_update -= online_streams
        if self._until_update <= 0:
            self._update()

    def _update(self) -> None:
        self._until_update = _FIRST_WEIGHT
        self._percentile_ms = float(self._percentile())
        if self._total > _WINDOW_WEIGHT:
            self._halve()

    def _percentile(self) -> int:
        above = self._total * (100 - PERCENTILE) / 100
        for key in sorted(self._weights_by_ms, reverse=True):
            above -= self._weights_by_ms[key]
            if above < 0:
                return key
        return 0

    def _halve(self) -> None:
        self._total /= 2
        for key in self._weights_by_ms:
            self._weights_by_ms[key] /= 2
