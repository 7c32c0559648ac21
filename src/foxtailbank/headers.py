"""HTTP headers: removal of hop-by-hop ones, and their bytes.

A header's text holds one character for each byte (latin-1), so that whatever bytes a
client or a worker sends go out again unchanged.
"""

import re
import typing as t

Headers: t.TypeAlias = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def is_header_name(name: str) -> bool:
    """Return whether a text is a valid header name."""
    return bool(_TOKEN.fullmatch(name))


def is_header_value(value: str) -> bool:
    """Return whether a text can be sent as a header value."""
    return value == value.strip(" \t") and not _FORBIDDEN_IN_VALUE.search(value)


def text_to_header(text: str) -> str:
    """Return the header value that carries a text as UTF-8."""
    return text.encode("utf-8", "replace").decode("latin-1")


def encode_text(text: str) -> bytes:
    """Return the bytes of a header's name or value.

    Texts that hold other characters than bytes, such as names of workers, are sent as
    UTF-8.
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode("utf-8", "replace")


def encode_headers(headers: t.Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return the bytes of headers as they are sent."""
    return [(encode_text(name), encode_text(value)) for name, value in headers]


def strip_hop_by_hop(
    headers: t.Iterable[tuple[str, str]], *, exclude: frozenset[str] = frozenset()
) -> Headers:
    """Return the end-to-end headers, which may be forwarded.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names and values; names are case-insensitive.
    exclude : frozenset of str
        Further names to remove, in lower case.

    Returns
    -------
    tuple of (str, str)
        The headers without the hop-by-hop ones and those listed in ``Connection``.
    """
    all_headers = tuple(headers)
    removed = HOP_BY_HOP | exclude | _connection_options(all_headers)
    return tuple(
        (name, value) for name, value in all_headers if name.lower() not in removed
    )


def _connection_options(headers: Headers) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    )
