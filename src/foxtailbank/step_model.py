"""Model of an engine's step time, fitted to the gaps between tokens."""

INITIAL_BASE_MS = 20.0
INITIAL_PER_STREAM_MS = 0.5
INITIAL_PREFILL_MS = 10.0
_DECAY_PER_STEP = 0.998  # of the weight of earlier samples
_PREFILL_WEIGHT = 0.05  # of a new sample in the moving average
_PRIOR_STREAMS = (0.0, 32.0)  # of the samples that stand for the initial estimates
_PRIOR_WEIGHT = 5.0


class StepModel:
    """Linear model: a base time plus a time per stream and a time per prefill.

    Base and time per stream come from a weighted least-squares fit over steps without
    prefill; the time per prefill is a moving average of the excess time of other steps.

    Parameters
    ----------
    base_ms : float
        Initial estimate of the step time of an empty batch, in milliseconds.
    per_stream_ms : float
        Initial estimate of the time that each stream adds, in milliseconds.
    prefill_ms : float
        Initial estimate of the time that the prefill of one request adds, in
        milliseconds.
    """

    def __init__(
        self,
        *,
        base_ms: float = INITIAL_BASE_MS,
        per_stream_ms: float = INITIAL_PER_STREAM_MS,
        prefill_ms: float = INITIAL_PREFILL_MS,
    ) -> None:
        self._weight = 0.0
        self._sum_n = 0.0
        self._sum_nn = 0.0
        self._sum_gap = 0.0
        self._sum_n_gap = 0.0
        self._base_ms = base_ms
        self._per_stream_ms = per_stream_ms
        self._prefill_ms = prefill_ms
        for streams in _PRIOR_STREAMS:
            gap_ms = base_ms + per_stream_ms * streams
            self._add_sample(streams, gap_ms, _PRIOR_WEIGHT)

    @property
    def prefill_ms(self) -> float:
        """Time that the prefill of one request adds to a step, in milliseconds."""
        return self._prefill_ms

    def step_ms(self, streams: int, *, prefills: int = 0) -> float:
        """Return the expected step time in milliseconds.

        Parameters
        ----------
        streams : int
            Streams in the batch.
        prefills : int
            Requests among them whose prompt is computed in the step.
        """
        decode_ms = self._base_ms + self._per_stream_ms * streams
        return decode_ms + self._prefill_ms * prefills

    def streams_within(self, step_ms: float) -> int:
        """Return the most streams whose step without prefill stays within a time.

        Parameters
        ----------
        step_ms : float
            Bound on the step time, in milliseconds.
        """
        return max(0, int((step_ms - self._base_ms) / self._per_stream_ms))

    def observe(self, *, streams: int, prefills: int, gap_ms: float) -> None:
        """Update the model from one step.

        Parameters
        ----------
        streams : int
            Streams in the batch.
        prefills : int
            Requests that joined the batch in the step.
        gap_ms : float
            Duration of the step in milliseconds.
        """
        if prefills == 0:
            self._decay_sums()
            self._add_sample(streams, gap_ms, 1.0)
            self._fit()
            return
        excess_ms = max(0.0, gap_ms - self.step_ms(streams)) / prefills
        self._prefill_ms += _PREFILL_WEIGHT * (excess_ms - self._prefill_ms)

    def _decay_sums(self) -> None:
        self._weight *= _DECAY_PER_STEP
        self._sum_n *= _DECAY_PER_STEP
        self._sum_nn *= _DECAY_PER_STEP
        self._sum_gap *= _DECAY_PER_STEP
        self._sum_n_gap *= _DECAY_PER_STEP

    def _add_sample(self, streams: float, gap_ms: float, weight: float) -> None:
        self._weight += weight
        self._sum_n += weight * streams
        self._sum_nn += weight * streams * streams
        self._sum_gap += weight * gap_ms
        self._sum_n_gap += weight * streams * gap_ms

    def _fit(self) -> None:
        spread = self._weight * self._sum_nn - self._sum_n * self._sum_n
        if spread < self._weight * self._weight:
            return
        covariance = self._weight * self._sum_n_gap - self._sum_n * self._sum_gap
        per_stream_ms = covariance / spread
        base_ms = (self._sum_gap - per_stream_ms * self._sum_n) / self._weight
        if per_stream_ms > 0 and base_ms > 0:
            self._per_stream_ms = per_stream_ms
            self._base_ms = base_ms
