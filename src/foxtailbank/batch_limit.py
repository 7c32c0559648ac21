"""How many batch streams an endpoint may hold."""

import abc
import dataclasses

from foxtailbank.endpoint import LoadReport

UNLIMITED_STREAMS = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class CancelBatchStreams:
    """Cancel batch streams and keep their partial output.

    Attributes
    ----------
    count : int
        How many.
    """

    count: int


class BatchLimit(abc.ABC):
    """Limit on the batch streams of one endpoint, held by its batch owner.

    The batch owner tells it of every online request on the endpoint, its own ones
    and those that other VMs send notice of, and of its own batch streams. Streams
    that a `CancelBatchStreams` names count as ended at once.
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

    def startable(self, now_ms: int) -> int:
        """Return how many more batch streams may start.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.
        """
        return max(0, self.limit(now_ms) - self._batch_streams)

    def on_batch_start(self, now_ms: int) -> None:
        """Note that a batch stream was sent to the endpoint."""
        self._batch_streams += 1

    def on_batch_end(self, now_ms: int) -> None:
        """Note that a batch stream ended by itself."""
        self._batch_streams = max(0, self._batch_streams - 1)

    def on_online_dispatch(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        """Note that an online request goes to the endpoint.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        tuple of CancelBatchStreams
            What makes room for it.
        """
        self._online_streams += 1
        return self._cancel_excess(now_ms)

    def on_online_end(self, now_ms: int) -> None:
        """Note that an online request left the endpoint."""
        self._online_streams = max(0, self._online_streams - 1)

    def on_first_token(self, ttft_ms: float, now_ms: int) -> None:
        """Take in an online request's time to first token, in milliseconds."""
        return None

    def on_token_gap(self, gap_ms: float, now_ms: int) -> None:
        """Take in the time between two tokens of an online stream."""
        return None

    def on_load_report(
        self, report: LoadReport, now_ms: int
    ) -> tuple[CancelBatchStreams, ...]:
        """Take in a load report, which lags.

        Parameters
        ----------
        report : LoadReport
            What the engine said.
        now_ms : int
            Present time in milliseconds.

        Returns
        -------
        tuple of CancelBatchStreams
            What brings the batch streams down to the limit.
        """
        return ()

    def _cancel_excess(self, now_ms: int) -> tuple[CancelBatchStreams, ...]:
        excess = self._batch_streams - self.limit(now_ms)
        if excess <= 0:
            return ()
        self._batch_streams -= excess
        return (CancelBatchStreams(count=excess),)


class UnlimitedBatch(BatchLimit):
    """Passes batch work on as it comes; the first-in-first-out baseline."""

    def limit(self, now_ms: int) -> int:
        """Return a number that no backlog reaches."""
        return UNLIMITED_STREAMS


class StaticBatchLimit(BatchLimit):
    """Gives batch a fixed part of the engine; a baseline.

    Parameters
    ----------
    max_batch_streams : int
        The part.
    """

    def __init__(self, *, max_batch_streams: int) -> None:
        super().__init__()
        self._max_batch_streams = max_batch_streams

    def limit(self, now_ms: int) -> int:
        """Return the fixed part."""
        return self._max_batch_streams
