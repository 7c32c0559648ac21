"""Output stream of one request in the engine stand-in."""

import anyio

from foxtailbank_bench.completion_encoder import Usage, encoder_for
from foxtailbank_bench.completion_request import CompletionRequest
from foxtailbank_bench.generation import Generation
from foxtailbank_bench.journal import JournalEntry
from foxtailbank_bench.prefix_cache import prefix_digests, token_count

CANCELLED = "cancelled"


class EngineStream:
    """Output of one request, produced one token a step.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    entry : JournalEntry
        Its journal entry; `tokens` is updated.
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
        self._first_index = min(entry.resume_at, self._generation.length)
        self._next_index = self._first_index
        self._encoder = encoder_for(request, response_id=f"cmpl-{entry.request_id}")
        self._unsent: list[bytes] = []
        self._token_texts: list[str] = []
        self._advanced = anyio.Event()

    @property
    def has_output(self) -> bool:
        """Whether there is output that `next_output` has not returned."""
        return bool(self._unsent)

    def advance(self) -> None:
        """Produce one token, and the final part after the last token."""
        if self._next_index < self._generation.length:
            self._add_token()
        if self._next_index >= self._generation.length:
            self._finish(self._generation.finish_reason)
        self._advanced.set()

    def cancel(self) -> None:
        """End the stream early, unless it has ended."""
        if not self.ended:
            self.was_cancelled = True
            self._finish(CANCELLED)
            self._advanced.set()

    async def next_output(self) -> bytes:
        """Wait for output and return all that is pending; empty after the end."""
        if not self._unsent and not self.ended:
            await self._wait_for_step()
        output, self._unsent = self._unsent, []
        return b"".join(output)

    async def full_response(self) -> bytes:
        """Wait for the end and return the body of a response that is not streamed."""
        while not self.ended:
            await self._wait_for_step()
        return b"".join(self._unsent)

    async def _wait_for_step(self) -> None:
        self._advanced = anyio.Event()
        await self._advanced.wait()

    def _add_token(self) -> None:
        text = self._generation.token(self._next_index)
        if self.request.stream:
            self._unsent.append(
                self._encoder.encode_chunk(index=self._next_index, text=text)
            )
        else:
            self._token_texts.append(text)
        self._next_index += 1
        self.entry.tokens += 1

    def _finish(self, finish_reason: str) -> None:
        self.ended = True
        usage = Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self._next_index,
            total_tokens=self.prompt_tokens + self._next_index,
        )
        self._unsent.append(self._encode_end(finish_reason, usage))

    def _encode_end(self, finish_reason: str, usage: Usage) -> bytes:
        if self.request.stream:
            sent_usage = usage if self.request.include_usage else None
            return self._encoder.encode_end(
                index=self._next_index, finish_reason=finish_reason, usage=sent_usage
            )
        return self._encoder.encode_full(
            index=self._first_index,
            text="".join(self._token_texts),
            finish_reason=finish_reason,
            usage=usage,
        )
