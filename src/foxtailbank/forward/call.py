"""A client's request on its way to a worker."""

import dataclasses

from foxtailbank.headers import Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request that may be sent to workers.

    Attributes
    ----------
    request_id : str
        Id of this client attempt, or of the batch item.
    method, target : str
        Request line.
    host : str
        Host that the client named.
    headers : tuple of (str, str)
        Headers to pass on.
    body : bytes
        Content.
    arrived_ms : int
        When it was read.
    patience_ms : int
        How long the client waits after that; 0 if it did not say.
    resume_after : str
        Id of the last event that the client has; empty for a whole stream.
    tokens : int
        Tokens of the prompt and the longest output together; 0 if unknown.
    affinity : str
        Key of the prompt's shared prefix.
    fingerprint : int
        Digest that is the same at each repetition.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_ms: int
    patience_ms: int = 0
    resume_after: str = ""
    tokens: int = 0
    affinity: str = ""
    fingerprint: int = 0
