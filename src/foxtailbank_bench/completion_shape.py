"""Answers to completion requests, as bytes."""

import abc

import msgspec

from foxtailbank_bench.completion_request import CompletionRequest

# Fixed, so that a resumed stream is byte for byte the rest of the lost one.
CREATED_S = 1_700_000_000
DONE = b"data: [DONE]\n\n"


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that a request took."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class CompletionShape(abc.ABC):
    """Writes the parts of one request's answer.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    answer_id : str
        Identifier in the answer.
    """

    object_name: str
    chunk_name: str

    def __init__(self, *, request: CompletionRequest, answer_id: str) -> None:
        self._model = request.model
        self._answer_id = answer_id
        # Words need no escape, so that a chunk is one formatting operation.
        choice = self._chunk_choice().replace(b"%", b"%%").replace(b"@text@", b"%s")
        head = self._head(self.chunk_name).replace(b"%", b"%%")
        self._template = (
            b"data: " + head + b',"token_index":%d,"choices":[' + choice + b"]}\n\n"
        )

    def chunk(self, *, index: int, text: str) -> bytes:
        """Return the event of one token.

        Parameters
        ----------
        index : int
            Index of the token.
        text : str
            Its text.
        """
        return self._template % (index, text.encode("ascii"))

    def end(self, *, index: int, finish_reason: str, usage: Usage | None) -> bytes:
        """Return the events at a stream's end.

        Parameters
        ----------
        index : int
            One more than the index of the last token.
        finish_reason : str
            Why the stream ended.
        usage : Usage or None
            Tokens used, if they are wanted.
        """
        head = self._head(self.chunk_name)
        choice = self._end_choice(finish_reason)
        parts = [b'data: %s,"token_index":%d,"choices":[%s]}\n\n']
        values: list[object] = [head, index, choice]
        if usage is not None:
            parts.append(b'data: %s,"token_index":%d,"choices":[],"usage":%s}\n\n')
            values += [head, index, msgspec.json.encode(usage)]
        return b"".join(parts) % tuple(values) + DONE

    def whole(
        self, *, index: int, text: str, finish_reason: str, usage: Usage
    ) -> bytes:
        """Return an answer that is not streamed.

        Parameters
        ----------
        index : int
            Index of the first token in the text.
        text : str
            All tokens.
        finish_reason : str
            Why the text ended.
        usage : Usage
            Tokens used.
        """
        return b'%s,"token_index":%d,"choices":[%s],"usage":%s}' % (
            self._head(self.object_name),
            index,
            self._whole_choice(text, finish_reason),
            msgspec.json.encode(usage),
        )

    def _head(self, object_name: str) -> bytes:
        fields = {
            "id": self._answer_id,
            "object": object_name,
            "created": CREATED_S,
            "model": self._model,
        }
        return msgspec.json.encode(fields)[:-1]

    @abc.abstractmethod
    def _chunk_choice(self) -> bytes: ...

    @abc.abstractmethod
    def _end_choice(self, finish_reason: str) -> bytes: ...

    @abc.abstractmethod
    def _whole_choice(self, text: str, finish_reason: str) -> bytes: ...


class TextShape(CompletionShape):
    """Shape of plain completions."""

    object_name = "text_completion"
    chunk_name = "text_completion"

    def _chunk_choice(self) -> bytes:
        return b'{"index":0,"text":"@text@","logprobs":null,"finish_reason":null}'

    def _end_choice(self, finish_reason: str) -> bytes:
        return self._whole_choice("", finish_reason)

    def _whole_choice(self, text: str, finish_reason: str) -> bytes:
        choice = {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }
        return msgspec.json.encode(choice)


class ChatShape(CompletionShape):
    """Shape of chat completions."""

    object_name = "chat.completion"
    chunk_name = "chat.completion.chunk"

    def _chunk_choice(self) -> bytes:
        return (
            b'{"index":0,"delta":{"role":"assistant","content":"@text@"},'
            b'"finish_reason":null}'
        )

    def _end_choice(self, finish_reason: str) -> bytes:
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        return msgspec.json.encode(choice)

    def _whole_choice(self, text: str, finish_reason: str) -> bytes:
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        return msgspec.json.encode(choice)


def shape_of(request: CompletionRequest, *, answer_id: str) -> CompletionShape:
    """Return the shape that a request asks for."""
    kind = ChatShape if request.chat else TextShape
    return kind(request=request, answer_id=answer_id)
