"""Choice of the batch streams to cancel when online needs room."""

import abc
import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BatchStream:
    """A batch stream on an endpoint.

    Attributes
    ----------
    stream_id : str
        Request id.
    deadline_ms : int
        Deadline of its job, in wall milliseconds.
    prompt_tokens : int
        Length of the prompt.
    done_tokens : int
        Tokens received; they are kept, but computed into the cache again on resume.
    expected_tokens : int
        Tokens that the whole answer is expected to have.
    """

    stream_id: str
    deadline_ms: int
    prompt_tokens: int
    done_tokens: int
    expected_tokens: int

    @property
    def resume_tokens(self) -> int:
        """Tokens that a resumption computes again."""
        return self.prompt_tokens + self.done_tokens

    @property
    def left_tokens(self) -> int:
        """Tokens still expected."""
        return max(1, self.expected_tokens - self.done_tokens)


class Preemption(abc.ABC):
    """Orders batch streams by how readily they are cancelled."""

    @abc.abstractmethod
    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        """Return what cancelling costs; the least is cancelled first."""

    def choose(
        self, streams: t.Iterable[BatchStream], count: int
    ) -> tuple[BatchStream, ...]:
        """Return the streams to cancel.

        Parameters
        ----------
        streams : iterable of BatchStream
            Batch streams on the endpoint.
        count : int
            How many to cancel.
        """
        ordered = sorted(streams, key=lambda s: (*self._cost(s), s.stream_id))
        return tuple(ordered[:count])


class LeastProgress(Preemption):
    """Cancels first what costs least to compute again."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (stream.resume_tokens,)


class LatestDeadline(Preemption):
    """Cancels first what is due last, then what costs least to compute again."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (-stream.deadline_ms, stream.resume_tokens)


class MostRemaining(Preemption):
    """Cancels first what would hold its place longest."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (-stream.left_tokens,)


class LeastWaste(Preemption):
    """Cancels first what loses least for each token of place that it frees."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (stream.resume_tokens / stream.left_tokens,)
