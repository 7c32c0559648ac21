"""One request inside the engine stand-in."""

import anyio

from foxtailbank_bench.completion_request import CompletionRequest
from foxtailbank_bench.completion_shape import Usage, shape_of
from foxtailbank_bench.generation import Generation
from foxtailbank_bench.journal import JournalEntry
from foxtailbank_bench.prefix_cache import prefix_digests, token_count

CANCELLED = "cancelled"


class EngineStream:
    """Output of one request, made step by step.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    entry : JournalEntry
        Its line in the journal.
    """

    def __init__(self, *, request: CompletionRequest, entry: JournalEntry) -> None:
        prompt = request.prompt.encode()
        self.request = request
        self.entry = entry
        self.prefixes = prefix_digests(prompt)
        self.prompt_tokens = token_count(prompt)
        self.ended = False
        self.was_cancelled = False
        self._generation = Generation(
            model=request.model, prompt=request.prompt, max_tokens=request.max_tokens
        )
        self._first = min(entry.resume_at, self._generation.length)
        self._next = self._first
        self._shape = shape_of(request, answer_id=f"cmpl-{entry.request_id}")
        self._ready: list[bytes] = []
        self._texts: list[str] = []
        self._changed = anyio.Event()

    @property
    def has_output(self) -> bool:
        """Whether there is output that `take` has not given."""
        return bool(self._ready)

    def step(self) -> None:
        """Make one token, and the end after the last one."""
        if self._next < self._generation.length:
            self._add_token()
        if self._next >= self._generation.length:
            self._finish(self._generation.finish_reason)
        self._changed.set()

    def cancel(self) -> None:
        """End the stream early."""
        if not self.ended:
            self.was_cancelled = True
            self._finish(CANCELLED)
            self._changed.set()

    async def take(self) -> bytes:
        """Wait for output and return all of it; empty after the end."""
        if not self._ready and not self.ended:
            await self._wait_for_step()
        ready, self._ready = self._ready, []
        return b"".join(ready)

    async def whole(self) -> bytes:
        """Wait for the end and return the answer that is not streamed."""
        while not self.ended:
            await self._wait_for_step()
        return b"".join(self._ready)

    async def _wait_for_step(self) -> None:
        self._changed = anyio.Event()
        await self._changed.wait()

    def _add_token(self) -> None:
        text = self._generation.token(self._next)
        if self.request.stream:
            self._ready.append(self._shape.chunk(index=self._next, text=text))
        else:
            self._texts.append(text)
        self._next += 1
        self.entry.tokens += 1

    def _finish(self, finish_reason: str) -> None:
        self.ended = True
        usage = Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self._next,
            total_tokens=self.prompt_tokens + self._next,
        )
        self._ready.append(self._end_part(finish_reason, usage))

    def _end_part(self, finish_reason: str, usage: Usage) -> bytes:
        if self.request.stream:
            wanted = usage if self.request.include_usage else None
            return self._shape.end(
                index=self._next, finish_reason=finish_reason, usage=wanted
            )
        return self._shape.whole(
            index=self._first,
            text="".join(self._texts),
            finish_reason=finish_reason,
            usage=usage,
        )
