"""Removal of hop-by-hop HTTP headers."""

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
