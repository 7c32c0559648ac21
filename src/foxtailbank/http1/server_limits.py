"""Limits on the size and timing of client requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits for each client connection.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's header and body, in bytes.
    header_timeout_ms : int
        Bound on each wait for more of a started request, in milliseconds.
    idle_timeout_ms : int
        Maximum time between two requests, in milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
