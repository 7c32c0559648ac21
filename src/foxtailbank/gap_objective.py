"""Objectives for inter-token latency of online streams, which bound batch work."""

import abc

GAP_RATIO = 1.05
PERCENTILE = 99
INITIAL_OBJECTIVE_MS = 30.0
_UPDATE_WEIGHT = 500.0  # online tokens between two updates of the percentile
_MAX_WEIGHT = 200_000.0  # online tokens; above it, all weights are halved


class GapObjective(abc.ABC):
    """Bound on the time between two tokens of an online stream.

    It may adapt to the latency that online streams would have without batch.
    """

    @abc.abstractmethod
    def objective_ms(self) -> float:
        """Return the bound in milliseconds."""

    @abc.abstractmethod
    def observe(self, *, baseline_gap_ms: float, online_streams: int) -> None:
        """Record a step.

        Parameters
        ----------
        baseline_gap_ms : float
            Estimated duration of the step without batch streams, in milliseconds.
        online_streams : int
            Online streams that received a token in the step.
        """


class FixedGapObjective(GapObjective):
    """Fixed bound that an operator sets.

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
    """Multiple of the 99th percentile that online streams would have without batch.

    Parameters
    ----------
    ratio : float
        Factor on the percentile.
    initial_objective_ms : float
        Bound until the percentile is first computed, in milliseconds.
    """

    def __init__(
        self,
        *,
        ratio: float = GAP_RATIO,
        initial_objective_ms: float = INITIAL_OBJECTIVE_MS,
    ) -> None:
        self._ratio = ratio
        self._weights_by_ms: dict[int, float] = {}
        self._total_weight = 0.0
        self._percentile_ms = initial_objective_ms / ratio
        self._weight_until_update = _UPDATE_WEIGHT

    def objective_ms(self) -> float:
        """Return the bound in milliseconds."""
        return self._ratio * self._percentile_ms

    def observe(self, *, baseline_gap_ms: float, online_streams: int) -> None:
        """Record a step, weighted by its online streams."""
        key = int(baseline_gap_ms)
        self._weights_by_ms[key] = self._weights_by_ms.get(key, 0.0) + online_streams
        self._total_weight += online_streams
        self._weight_until_update -= online_streams
        if self._weight_until_update <= 0:
            self._update_percentile()

    def _update_percentile(self) -> None:
        self._weight_until_update = _UPDATE_WEIGHT
        self._percentile_ms = float(self._compute_percentile())
        if self._total_weight > _MAX_WEIGHT:
            self._halve_weights()

    def _compute_percentile(self) -> int:
        weight_above = self._total_weight * (100 - PERCENTILE) / 100
        for key in sorted(self._weights_by_ms, reverse=True):
            weight_above -= self._weights_by_ms[key]
            if weight_above < 0:
                return key
        return 0

    def _halve_weights(self) -> None:
        self._total_weight /= 2
        for key in self._weights_by_ms:
            self._weights_by_ms[key] /= 2
