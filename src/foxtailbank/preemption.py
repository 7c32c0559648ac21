"""Policies that choose which batch streams to cancel for online requests."""

import abc
import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BatchStream:
    """A batch stream that runs on an endpoint.

    Attributes
    ----------
    stream_id : str
        Id of its request.
    deadline_ms : int
        Deadline of its job, in milliseconds of wall time.
    prompt_tokens : int
        Length of the prompt.
    generated_tokens : int
        Output tokens received. They are kept when the stream is cancelled, but their
        KV cache entries are computed again when it resumes.
    expected_tokens : int
        Expected length of the complete output.
    """

    stream_id: str
    deadline_ms: int
    prompt_tokens: int
    generated_tokens: int
    expected_tokens: int

    @property
    def recompute_tokens(self) -> int:
        """Tokens that are computed again when the stream resumes."""
        return self.prompt_tokens + self.generated_tokens

    @property
    def remaining_tokens(self) -> int:
        """Output tokens still expected; at least 1."""
        return max(1, self.expected_tokens - self.generated_tokens)


class PreemptionPolicy(abc.ABC):
    """Orders batch streams by the cost of cancelling them."""

    @abc.abstractmethod
    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        """Return the cost of cancelling; the lowest is cancelled first."""

    def choose(
        self, streams: t.Iterable[BatchStream], count: int
    ) -> tuple[BatchStream, ...]:
        """Return the streams to cancel, the cheapest first.

        Parameters
        ----------
        streams : iterable of BatchStream
            Batch streams on the endpoint.
        count : int
            Number of streams to cancel; fewer are returned if there are fewer.
        """
        ordered = sorted(streams, key=lambda s: (*self._cost(s), s.stream_id))
        return tuple(ordered[:count])


class LeastProgress(PreemptionPolicy):
    """Cancels first the streams with the fewest tokens to recompute."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (stream.recompute_tokens,)


class LatestDeadline(PreemptionPolicy):
    """Cancels first the latest deadline, then the fewest tokens to recompute."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (-stream.deadline_ms, stream.recompute_tokens)


class MostRemaining(PreemptionPolicy):
    """Cancels first the streams that would hold their slot longest."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (-stream.remaining_tokens,)


class LeastWaste(PreemptionPolicy):
    """Cancels first the fewest tokens to recompute per output token still expected."""

    def _cost(self, stream: BatchStream) -> tuple[float, ...]:
        return (stream.recompute_tokens / stream.remaining_tokens,)
