"""Limits on the number of batch streams on an endpoint."""

import abc
import dataclasses

from foxtailbank.endpoint import LoadReport

UNLIMITED_STREAMS = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelBatchStreams:
    """Action to cancel batch streams and keep their partial output.

    Attributes
    ----------
    count : int
        Number of streams to cancel.
    """

    count: int


class BatchLimit(abc.ABC):
    """Limit on the batch streams of one endpoint.

    It is kept by the endpoint's batch owner, the VM that runs batch items there. The
    owner reports every online request on the endpoint, both its own and those that
    other VMs notify it of, and its own batch streams. Streams counted in a
    `CancelBatchStreams` are treated as ended at once.
    """

    def __init__(self) -> None:
        self._online_streams = 0
        self._batch_streams = 0

    @property
    def online_streams(self) -> int:
        """Online streams known to be on the endpoint."""
        return self._online_streams

    @property
    def batch_streams(self) -> int:
        """Batch streams on the endpoint."""
        return self._batch_streams

    @abc.abstractmethod
    def limit(self, now_ms: int) -> int:
        """Return the number of batch streams that the endpoint may hold."""

    def startable_streams(self, now_ms: int) -> int:
        """Return the number of batch streams that may start now.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        return max(0, self.limit(now_ms) - self._batch_streams)

    def on_batch_start(self, now_ms: int) -> None:
        """Record that a batch stream was sent to the endpoint."""
        self._batch_streams += 1

    def on_batch_end(self, now_ms: int) -> None:
        """Record that a batch stream ended without being cancelled."""
        self._batch_streams = max(0, self._batch_streams - 1)

    def on_online_dispatch(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        """Record that an online request is being sent to the endpoint.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        tuple of CancelBatchStreams
            Cancellations that free capacity for the request.
        """
        self._online_streams += 1
        return self._cancel_excess(now_ms)

    def on_online_end(self, now_ms: int) -> None:
        """Record that an online request ended on the endpoint."""
        self._online_streams = max(0, self._online_streams - 1)

    def on_first_token(self, ttft_ms: float, now_ms: int) -> None:
        """Record an online request's time to first token, in milliseconds."""
        return None

    def on_token_gap(self, gap_ms: float, now_ms: int) -> None:
        """Record the time between two tokens of an online stream."""
        return None

    def on_load_report(
        self, report: LoadReport, now_ms: int
    ) -> tuple[CancelBatchStreams, ...]:
        """Record a load report, which describes the engine at an earlier time.

        Parameters
        ----------
        report : LoadReport
            Report of the engine.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        tuple of CancelBatchStreams
            Cancellations that bring the batch streams down to the limit.
        """
        return ()

    def _cancel_excess(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        excess = self._batch_streams - self.limit(now_ms)
        if excess <= 0:
            return ()
        self._batch_streams -= excess
        return (CancelBatchStreams(count=excess),)


class UnlimitedBatchLimit(BatchLimit):
    """Sends batch work on without a limit; the first-in-first-out baseline."""

    def limit(self, now_ms: int) -> int:
        """Return a number larger than any backlog."""
        return UNLIMITED_STREAMS


class StaticBatchLimit(BatchLimit):
    """Gives batch a fixed number of streams; a baseline.

    Parameters
    ----------
    max_batch_streams : int
        Number of batch streams that the endpoint may hold.
    """

    def __init__(self, *, max_batch_streams: int) -> None:
        super().__init__()
        self._max_batch_streams = max_batch_streams

    def limit(self, now_ms: int) -> int:
        """Return the fixed number of batch streams."""
        return self._max_batch_streams
