"""HTTP headers that belong to one connection only."""

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
    headers: t.Iterable[tuple[str, str]], *, also: frozenset[str] = frozenset()
) -> Headers:
    """Return headers that may travel on to the next connection.

    Parameters
    ----------
    headers : iterable of (str, str)
        Names and values; names in any case.
    also : frozenset of str
        Further lower-case names to leave out.

    Returns
    -------
    tuple of (str, str)
        Without the hop-by-hop headers and those that ``Connection`` names.
    """
    listed = tuple(headers)
    dropped = HOP_BY_HOP | also | _named_by_connection(listed)
    return tuple((name, value) for name, value in listed if name.lower() not in dropped)


def _named_by_connection(headers: Headers) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    )
