"""Batch streams that this VM drives on one endpoint."""

import dataclasses

import anyio

from foxtailbank.backend import Backend
from foxtailbank.batch_limit import BatchLimit, CancelBatchStreams
from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.preemption import BatchStream, PreemptionPolicy


@dataclasses.dataclass(kw_only=True)
class ActiveItem:
    """A batch item in flight.

    Attributes
    ----------
    chunk : OpenChunk
        Chunk that the item belongs to.
    position : int
        Position of the item in the chunk.
    cancel_scope : CancelScope
        Cancels the item.
    collector : CompletionCollector
        Output received so far.
    deadline_ms : int
        Deadline of its job, in wall milliseconds.
    max_tokens : int
        Maximum tokens that it may generate.
    is_preempted : bool
        Whether it was cancelled to free a slot for online requests.
    """

    chunk: OpenChunk
    position: int
    cancel_scope: anyio.CancelScope
    collector: CompletionCollector
    deadline_ms: int
    max_tokens: int
    is_preempted: bool = False


class EndpointBatch:
    """Batch streams on one endpoint, with their limit and open chunks.

    Parameters
    ----------
    backend : Backend
        The endpoint.
    limit : BatchLimit
        Number of batch streams that the endpoint may run.
    preemption : PreemptionPolicy
        Selects the streams to cancel first.

    Attributes
    ----------
    chunks : list of OpenChunk
        Open chunks in the order they were opened.
    active_by_id : dict of str to ActiveItem
        Items in flight by request id.
    is_loading : bool
        Whether a chunk is being loaded.
    """

    def __init__(
        self, *, backend: Backend, limit: BatchLimit, preemption: PreemptionPolicy
    ) -> None:
        self.backend = backend
        self.limit = limit
        self.chunks: list[OpenChunk] = []
        self.active_by_id: dict[str, ActiveItem] = {}
        self.is_loading = False
        self._preemption = preemption

    def pending_count(self) -> int:
        """Return the number of items in open chunks that have not started."""
        return sum(len(chunk.pending) for chunk in self.chunks)

    def preempt(self, actions: tuple[CancelBatchStreams, ...]) -> int:
        """Cancel as many streams as the actions ask for; their output is kept.

        Returns
        -------
        int
            Number of cancelled streams.
        """
        count = sum(action.count for action in actions)
        if not count:
            return 0
        streams = [
            BatchStream(
                stream_id=request_id,
                deadline_ms=item.deadline_ms,
                prompt_tokens=0,
                generated_tokens=item.collector.next_index,
                expected_tokens=item.max_tokens,
            )
            for request_id, item in self.active_by_id.items()
            if not item.is_preempted
        ]
        chosen = self._preemption.choose(streams, count)
        for stream in chosen:
            item = self.active_by_id[stream.stream_id]
            item.is_preempted = True
            item.cancel_scope.cancel()
        return len(chosen)

    def cancel_job(self, job_id: str) -> None:
        """Cancel the items and drop the chunks of a job that has ended."""
        for item in self.active_by_id.values():
            if item.chunk.job_id == job_id:
                item.cancel_scope.cancel()
        self.chunks = [chunk for chunk in self.chunks if chunk.job_id != job_id]
