"""Encoding of completion responses and stream events."""

import abc

import msgspec

from foxtailbank_bench.completion_request import CompletionRequest

# Constant, so that a resumed stream is byte for byte the rest of the lost one.
CREATED_S = 1_700_000_000
DONE = b"data: [DONE]\n\n"


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class CompletionEncoder(abc.ABC):
    """Encodes the response to one request.

    Parameters
    ----------
    request : CompletionRequest
        The request.
    response_id : str
        Value of the response's ``id`` field.
    """

    object_name: str
    chunk_name: str

    def __init__(self, *, request: CompletionRequest, response_id: str) -> None:
        self._model = request.model
        self._response_id = response_id
        # Generated words need no JSON escapes, so a prepared template is enough to
        # encode a chunk.
        choice = self._chunk_choice().replace(b"%", b"%%").replace(b"@text@", b"%s")
        common = self._common_fields(self.chunk_name).replace(b"%", b"%%")
        self._template = (
            b"data: " + common + b',"token_index":%d,"choices":[' + choice + b"]}\n\n"
        )

    def encode_chunk(self, *, index: int, text: str) -> bytes:
        """Return the stream event of one token.

        Parameters
        ----------
        index : int
            Index of the token.
        text : str
            Text of the token, in ASCII.
        """
        return self._template % (index, text.encode("ascii"))

    def encode_end(
        self, *, index: int, finish_reason: str, usage: Usage | None
    ) -> bytes:
        """Return the events that end a stream.

        Parameters
        ----------
        index : int
            One more than the index of the last token.
        finish_reason : str
            Value of the ``finish_reason`` field.
        usage : Usage or None
            Token counts, if the client asked for them.
        """
        common = self._common_fields(self.chunk_name)
        choice = self._end_choice(finish_reason)
        templates = [b'data: %s,"token_index":%d,"choices":[%s]}\n\n']
        values: list[object] = [common, index, choice]
        if usage is not None:
            templates.append(b'data: %s,"token_index":%d,"choices":[],"usage":%s}\n\n')
            values += [common, index, msgspec.json.encode(usage)]
        return b"".join(templates) % tuple(values) + DONE

    def encode_full(
        self, *, index: int, text: str, finish_reason: str, usage: Usage
    ) -> bytes:
        """Return the body of a response that is not streamed.

        Parameters
        ----------
        index : int
            Index of the first token in the text.
        text : str
            Text of all tokens.
        finish_reason : str
            Value of the ``finish_reason`` field.
        usage : Usage
            Token counts.
        """
        return b'%s,"token_index":%d,"choices":[%s],"usage":%s}' % (
            self._common_fields(self.object_name),
            index,
            self._full_choice(text, finish_reason),
            msgspec.json.encode(usage),
        )

    def _common_fields(self, object_name: str) -> bytes:
        fields = {
            "id": self._response_id,
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
    def _full_choice(self, text: str, finish_reason: str) -> bytes: ...


class TextEncoder(CompletionEncoder):
    """Encodes text completions."""

    object_name = "text_completion"
    chunk_name = "text_completion"

    def _chunk_choice(self) -> bytes:
        return b'{"index":0,"text":"@text@","logprobs":null,"finish_reason":null}'

    def _end_choice(self, finish_reason: str) -> bytes:
        return self._full_choice("", finish_reason)

    def _full_choice(self, text: str, finish_reason: str) -> bytes:
        choice = {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }
        return msgspec.json.encode(choice)


class ChatEncoder(CompletionEncoder):
    """Encodes chat completions."""

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

    def _full_choice(self, text: str, finish_reason: str) -> bytes:
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        return msgspec.json.encode(choice)


def encoder_for(request: CompletionRequest, *, response_id: str) -> CompletionEncoder:
    """Return the encoder for a request's endpoint."""
    encoder = ChatEncoder if request.chat else TextEncoder
    return encoder(request=request, response_id=response_id)
