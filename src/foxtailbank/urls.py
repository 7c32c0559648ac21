"""Encoding of names and parameters in URLs."""

import urllib.parse


def quote_segment(name: str) -> str:
    """Percent-encode a name as one path segment."""
    return urllib.parse.quote(name, safe="")


def query_string(**parameters: str | int | None) -> str:
    """Return a query string of the parameters that are not None."""
    present = {name: value for name, value in parameters.items() if value is not None}
    return "?" + urllib.parse.urlencode(present) if present else ""
