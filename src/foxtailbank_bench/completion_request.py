"""Parsing of requests to the OpenAI-compatible completion endpoints."""

import msgspec

from foxtailbank_bench.asgi import MalformedRequest, decode_json

DEFAULT_MAX_TOKENS = 16
DEFAULT_CHAT_MAX_TOKENS = 64
CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class _ContentPart(msgspec.Struct, frozen=True):
    type: str = "text"
    text: str = ""


class _ChatMessage(msgspec.Struct, frozen=True):
    role: str
    content: str | list[_ContentPart] | None = None


class _RequestBody(msgspec.Struct, frozen=True):
    model: str
    prompt: str | list[str] | None = None
    messages: tuple[_ChatMessage, ...] = ()
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int | None = None


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a completion request that the engine uses.

    Attributes
    ----------
    model : str
        Name of the model or adapter.
    prompt : str
        Complete prompt; chat messages are joined as ``role: content`` lines.
    max_tokens : int
        Maximum output length, counted from token index 0 also when resuming.
    stream : bool
        Whether the response is streamed.
    include_usage : bool
        Whether a streamed response ends with a usage chunk.
    chat : bool
        Whether the response has the chat completion format.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def parse_request(path: str, body: bytes) -> CompletionRequest:
    """Parse a completion request.

    Parameters
    ----------
    path : str
        `TEXT_PATH` or `CHAT_PATH`.
    body : bytes
        Request body, in JSON.

    Raises
    ------
    MalformedRequest
        The body is invalid or asks for an unsupported option.
    """
    parsed = decode_json(body, _RequestBody)
    chat = path == CHAT_PATH
    default = DEFAULT_CHAT_MAX_TOKENS if chat else DEFAULT_MAX_TOKENS
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens or default
    if max_tokens < 1:
        raise MalformedRequest("max_tokens is not positive")
    if parsed.n not in (None, 1):
        raise MalformedRequest("n must be 1")
    options = parsed.stream_options or StreamOptions()
    return CompletionRequest(
        model=parsed.model,
        prompt=_chat_prompt(parsed.messages) if chat else _text_prompt(parsed.prompt),
        max_tokens=max_tokens,
        stream=parsed.stream,
        include_usage=options.include_usage,
        chat=chat,
    )


def _text_prompt(prompt: str | list[str] | None) -> str:
    if prompt is None:
        raise MalformedRequest("prompt is missing")
    return prompt if isinstance(prompt, str) else "\n".join(prompt)


def _chat_prompt(messages: tuple[_ChatMessage, ...]) -> str:
    if not messages:
        raise MalformedRequest("messages are missing")
    lines = (f"{item.role}: {_content_text(item.content)}\n" for item in messages)
    return "".join(lines)


def _content_text(content: str | list[_ContentPart] | None) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    return "".join(part.text for part in content)
