"""Bounds on what a client may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Bounds that hold for each client connection.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header and body.
    header_timeout_ms : int
        Longest time for a header to arrive, also between two pieces of a body.
    idle_timeout_ms : int
        Longest time between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
