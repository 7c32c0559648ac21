"""Completion calls as callers send them, as far as the system reads them."""

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
    """What the system reads of a completion call.

    Attributes
    ----------
    model : str
        Model that the caller asks for.
    streamed : bool
        Whether the answer is wanted as a stream.
    max_tokens : int
        Most tokens wanted.
    prefix_digest : int
        64-bit digest of the prompt's prefix.
    """

    model: str
    streamed: bool
    max_tokens: int
    prefix_digest: int


def parse_completion(path: str, body: bytes) -> Completion:
    """Read a completion call.

    Parameters
    ----------
    path : str
        ``COMPLETIONS_PATH`` or ``CHAT_PATH``.
    body : bytes
        JSON.

    Returns
    -------
    Completion
        What it asks for.

    Raises
    ------
    InvalidRequest
        The body is no JSON object of the expected form.
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
    wanted = call.max_completion_tokens or call.max_tokens
    if wanted is None:
        wanted = DEFAULT_MAX_TOKENS
    if wanted < 1:
        raise InvalidRequest(detail="`max_tokens` must be at least 1")
    return Completion(
        model=call.model,
        streamed=call.stream,
        max_tokens=wanted,
        prefix_digest=xxhash.xxh64_intdigest(content[:PREFIX_BYTES]),
    )
