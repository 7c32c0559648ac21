"""Duration of an engine's step, learnt from the gaps between tokens."""

FIRST_BASE_MS = 20.0
FIRST_PER_STREAM_MS = 0.5
FIRST_PREFILL_MS = 10.0
_MEMORY = 0.998
_PREFILL_WEIGHT = 0.05
_PRIOR_STREAMS = (0.0, 32.0)
_PRIOR_WEIGHT = 5.0


class StepModel:
    """Step time as a base, a part for each stream, and a part for each prefill.

    Parameters
    ----------
    base_ms : float
        First guess of the step time of an empty batch, in milliseconds.
    per_stream_ms : float
        First guess of what each stream adds, in milliseconds.
    prefill_ms : float
        First guess of what the prefill of one request adds, in milliseconds.
    """

    def __init__(
        self,
        *,
        base_ms: float = FIRST_BASE_MS,
        per_stream_ms: float = FIRST_PER_STREAM_MS,
        prefill_ms: float = FIRST_PREFILL_MS,
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
            self._add(streams, gap_ms, _PRIOR_WEIGHT)

    @property
    def prefill_ms(self) -> float:
        """What the prefill of one request adds to a step, in milliseconds."""
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
        """Return the most streams whose step without prefill takes a time at most.

        Parameters
        ----------
        step_ms : float
            Bound on the step time, in milliseconds.
        """
        return max(0, int((step_ms - self._base_ms) / self._per_stream_ms))

    def observe(self, *, streams: int, prefills: int, gap_ms: float) -> None:
        """Learn from one step.

        Parameters
        ----------
        streams : int
            Streams in the batch.
        prefills : int
            Requests that joined in the step.
        gap_ms : float
            Duration in milliseconds.
        """
        if prefills == 0:
            self._forget()
            self._add(streams, gap_ms, 1.0)
            self._fit()
            return
        excess_ms = max(0.0, gap_ms - self.step_ms(streams)) / prefills
        self._prefill_ms += _PREFILL_WEIGHT * (excess_ms - self._prefill_ms)

    def _forget(self) -> None:
        self._weight *= _MEMORY
        self._sum_n *= _MEMORY
        self._sum_nn *= _MEMORY
        self._sum_gap *= _MEMORY
        self._sum_n_gap *= _MEMORY

    def _add(self, streams: float, gap_ms: float, weight: float) -> None:
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
