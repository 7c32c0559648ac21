"""How far one attempt of an online request has come."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptProgress:
    """What is known of an attempt when it fails.

    Attributes
    ----------
    sent_wall_ms : int
        When the request was sent to the worker, in milliseconds of wall clock.
    answered : bool
        Whether the worker had begun to answer.
    events : int
        Events of a stream that were received.
    body_bytes : int
        Size of what was received of a body that is no stream.
    """

    sent_wall_ms: int = 0
    answered: bool = False
    events: int = 0
    body_bytes: int = 0
