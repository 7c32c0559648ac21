"""Assembly of a complete response from a token stream over several attempts."""

import typing as t

import msgspec

from foxtailbank.completion import CHAT_PATH
from foxtailbank.sink import Sink
from foxtailbank.sse import DATA_PREFIX, EVENT_END, TokenEvent, parse_event
from foxtailbank.vm_list import Vm

FIRST_ERROR_STATUS = 400
_EMPTY: dict[str, t.Any] = {}


class CompletionCollector(Sink):
    """Collects the response of one batch item.

    Parameters
    ----------
    path : str
        Path of the call, which determines the form of the response.

    Attributes
    ----------
    status : int
        HTTP status; 0 before the response head.
    next_index : int
        Index of the first token not yet collected.
    finished : bool
        Whether the finish reason has been received.
    writer : Vm or None
        Endpoint that wrote the last tokens; None without any.
    """

    def __init__(self, *, path: str) -> None:
        self.status = 0
        self.next_index = 0
        self.finished = False
        self.writer: Vm | None = None
        self._path = path
        self._texts: list[str] = []
        self._finish_reason: str | None = None
        self._usage: dict[str, t.Any] = _EMPTY
        self._metadata = TokenEvent()
        self._raw_body = b""

    def on_writer(self, endpoint: Vm) -> None:
        """Remember the endpoint that writes."""
        self.writer = endpoint

    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Record the response head."""
        self.started = True
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Add complete events, or content of a response that is not a stream."""
        if not chunk.startswith(DATA_PREFIX) or self.status >= FIRST_ERROR_STATUS:
            self._raw_body += chunk
            return
        for event in chunk.split(EVENT_END):
            parsed = parse_event(event)
            if parsed is not None:
                self._add_event(parsed)

    def body(self) -> msgspec.Raw | dict[str, t.Any]:
        """Return the JSON body of the complete response."""
        if self._raw_body:
            return _raw_json(self._raw_body)
        text = "".join(self._texts)
        choice: dict[str, t.Any] = {"index": 0, "finish_reason": self._finish_reason}
        if self._path == CHAT_PATH:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._path == CHAT_PATH else "text_completion"
        return {
            "id": self._metadata.id,
            "object": kind,
            "created": self._metadata.created,
            "model": self._metadata.model,
            "choices": [choice],
            "usage": self._total_usage(),
        }

    def _add_event(self, event: TokenEvent) -> None:
        self._metadata = event if event.id else self._metadata
        if event.usage:
            self._usage = event.usage
        if 0 <= event.token_index < self.next_index:
            return
        self.next_index = max(self.next_index, event.next_index)
        for choice in event.choices:
            self._texts.append(choice.content)
            if choice.finish_reason:
                self._finish_reason = choice.finish_reason
                self.finished = True

    def _total_usage(self) -> dict[str, t.Any]:
        prompt = int(self._usage.get("prompt_tokens", 0))
        return {
            "prompt_tokens": prompt,
            "completion_tokens": self.next_index,
            "total_tokens": prompt + self.next_index,
        }


def _raw_json(content: bytes) -> msgspec.Raw | dict[str, t.Any]:
    try:
        msgspec.json.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return {"content": content.decode("utf-8", "replace")}
    return msgspec.Raw(content)
