"""Parsing of completion calls, limited to the fields that the system uses."""

import dataclasses

import msgspec
import xxhash

from foxtailbank.exceptions import InvalidRequest

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
PREFIX_BYTES = 512
DEFAULT_MAX_TOKENS = 16


_ABSENT = msgspec.Raw(b"")


class _Body(msgspec.Struct, frozen=True):
    model: str
    prompt: msgspec.Raw = _ABSENT
    messages: msgspec.Raw = _ABSENT
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_decoder = msgspec.json.Decoder(_Body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completion:
    """The fields of a completion call that the system uses.

    Attributes
    ----------
    model : str
        Requested model.
    streamed : bool
        Whether the caller asks for a stream.
    max_tokens : int
        Maximum number of tokens to generate.
    prefix_digest : int
        64-bit digest of the prompt's prefix.
    """

    model: str
    streamed: bool
    max_tokens: int
    prefix_digest: int


def parse_completion(path: str, body: bytes) -> Completion:
    """Parse a completion call.

    Parameters
    ----------
    path : str
        ``COMPLETIONS_PATH`` or ``CHAT_PATH``.
    body : bytes
        JSON body.

    Returns
    -------
    Completion
        The parsed call.

    Raises
    ------
    InvalidRequest
        The body is not a JSON object of the expected form.
    """
    try:
        call = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidRequest(detail=f"malformed body: {error}") from error
    name = "messages" if path == CHAT_PATH else "prompt"
    raw = call.messages if path == CHAT_PATH else call.prompt
    content = bytes(raw)
    if content in (b"", b"null"):
        raise InvalidRequest(detail=f"`{name}` is missing")
    if path == CHAT_PATH and not content.startswith(b"["):
        raise InvalidRequest(detail="`messages` must be a list")
    max_tokens = call.max_completion_tokens or call.max_tokens
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if max_tokens < 1:
        raise InvalidRequest(detail="`max_tokens` must be at least 1")
    return Completion(
        model=call.model,
        streamed=call.stream,
        max_tokens=max_tokens,
        prefix_digest=xxhash.xxh64_intdigest(content[:PREFIX_BYTES]),
    )
