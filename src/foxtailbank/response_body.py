"""Reading of a whole response body up to a bound."""

import typing as t

from foxtailbank.exceptions import EndpointFailed


async def read_body(chunks: t.AsyncIterable[bytes], *, max_bytes: int) -> bytes:
    """Return a whole body.

    Parameters
    ----------
    chunks : async iterable of bytes
        The body as it is received.
    max_bytes : int
        Bound on its size, in bytes.

    Raises
    ------
    EndpointFailed
        The body is longer, or the connection broke.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        if size > max_bytes:
            raise EndpointFailed(detail=f"response over {max_bytes} bytes")
        parts.append(chunk)
    return b"".join(parts)
