"""Batch streams that this VM drives on one endpoint."""

import dataclasses

import anyio

from foxtailbank.backend import Backend
from foxtailbank.batch_limit import BatchLimit, CancelBatchStreams
from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.preemption import BatchStream, Preemption


@dataclasses.dataclass(kw_only=True)
class ActiveItem:
    """An item in flight.

    Attributes
    ----------
    chunk : OpenChunk
        Its chunk.
    position : int
        Its position there.
    scope : CancelScope
        Cuts it off.
    collector : CompletionCollector
        Output so far.
    deadline_ms : int
        Deadline of its job, in wall milliseconds.
    tokens : int
        Most tokens that it may generate.
    preempted : bool
        Whether it was cut off to make room.
    """

    chunk: OpenChunk
    position: int
    scope: anyio.CancelScope
    collector: CompletionCollector
    deadline_ms: int
    tokens: int
    preempted: bool = False


class EndpointBatch:
    """The streams, their limit and the chunks they come from.

    Parameters
    ----------
    backend : Backend
        The endpoint.
    limit : BatchLimit
        How many streams it may hold.
    preemption : Preemption
        Which streams are cut off first.

    Attributes
    ----------
    chunks : list of OpenChunk
        Chunks that are being run, in the order they were opened.
    active_by_id : dict of str to ActiveItem
        Items in flight by request id.
    loading : bool
        Whether a chunk is being read.
    """

    def __init__(
        self, *, backend: Backend, limit: BatchLimit, preemption: Preemption
    ) -> None:
        self.backend = backend
        self.limit = limit
        self.chunks: list[OpenChunk] = []
        self.active_by_id: dict[str, ActiveItem] = {}
        self.loading = False
        self._preemption = preemption

    def pending_count(self) -> int:
        """Return how many items wait in open chunks."""
        return sum(len(chunk.pending) for chunk in self.chunks)

    def carry_out(self, actions: tuple[CancelBatchStreams, ...]) -> int:
        """Cut off streams; their output is kept.

        Returns
        -------
        int
            How many were cut off.
        """
        count = sum(action.count for action in actions)
        if not count:
            return 0
        streams = [
            BatchStream(
                stream_id=request_id,
                deadline_ms=item.deadline_ms,
                prompt_tokens=0,
                done_tokens=item.collector.next_index,
                expected_tokens=item.tokens,
            )
            for request_id, item in self.active_by_id.items()
            if not item.preempted
        ]
        chosen = self._preemption.choose(streams, count)
        for stream in chosen:
            item = self.active_by_id[stream.stream_id]
            item.preempted = True
            item.scope.cancel()
        return len(chosen)

    def cancel_job(self, job_id: str) -> None:
        """Stop everything of a job that has ended."""
        for item in self.active_by_id.values():
            if item.chunk.job_id == job_id:
                item.scope.cancel()
        self.chunks = [chunk for chunk in self.chunks if chunk.job_id != job_id]
