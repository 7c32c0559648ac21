"""Puts a token stream together to a whole answer, over several attempts."""

import typing as t

import msgspec

from foxtailbank.completion import CHAT_PATH
from foxtailbank.sink import Sink
from foxtailbank.sse import DATA_PREFIX, EVENT_END, TokenEvent, parse_event

FIRST_ERROR_STATUS = 400
_EMPTY: dict[str, t.Any] = {}


class CompletionCollector(Sink):
    """Collects the answer of one batch item.

    Parameters
    ----------
    path : str
        Path of the call, which decides the shape of the answer.

    Attributes
    ----------
    status : int
        HTTP status; 0 before the head.
    next_index : int
        Index of the first token not yet collected.
    finished : bool
        Whether the last token has come.
    """

    def __init__(self, *, path: str) -> None:
        self.status = 0
        self.next_index = 0
        self.finished = False
        self._path = path
        self._parts: list[str] = []
        self._reason: str | None = None
        self._usage: dict[str, t.Any] = _EMPTY
        self._head = TokenEvent()
        self._other = b""

    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Take the head."""
        self.started = True
        self.status = status

    async def write(self, part: bytes) -> None:
        """Take whole events, or a part of an answer that is no stream."""
        if not part.startswith(DATA_PREFIX) or self.status >= FIRST_ERROR_STATUS:
            self._other += part
            return
        for event in part.split(EVENT_END):
            parsed = parse_event(event)
            if parsed is not None:
                self._take(parsed)

    def body(self) -> msgspec.Raw | dict[str, t.Any]:
        """Return the whole answer's JSON body."""
        if self._other:
            return _raw_json(self._other)
        text = "".join(self._parts)
        choice: dict[str, t.Any] = {"index": 0, "finish_reason": self._reason}
        if self._path == CHAT_PATH:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._path == CHAT_PATH else "text_completion"
        return {
            "id": self._head.id,
            "object": kind,
            "created": self._head.created,
            "model": self._head.model,
            "choices": [choice],
            "usage": self._whole_usage(),
        }

    def _take(self, event: TokenEvent) -> None:
        self._head = event if event.id else self._head
        if event.usage:
            self._usage = event.usage
        if 0 <= event.token_index < self.next_index:
            return
        self.next_index = max(self.next_index, event.next_index)
        for choice in event.choices:
            self._parts.append(choice.content)
            if choice.finish_reason:
                self._reason = choice.finish_reason
                self.finished = True

    def _whole_usage(self) -> dict[str, t.Any]:
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
