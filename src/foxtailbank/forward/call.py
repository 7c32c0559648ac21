"""A request that is forwarded to a worker."""

import dataclasses

from foxtailbank.customers.customer import Identity
from foxtailbank.fleet.stream_origin import stream_key
from foxtailbank.headers import Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request to forward to a worker.

    Attributes
    ----------
    request_id : str
        Id of this attempt of the client, or of the batch item.
    method, target : str
        Method and target of the request line.
    host : str
        Host that the client requested.
    headers : tuple of (str, str)
        Headers to forward.
    body : bytes
        Request body.
    arrived_ms : int
        Time at which the request was read.
    max_wait_ms : int
        How long the client waits from `arrived_ms` on; 0 if it did not state it.
    resume_after : str
        Id of the last event that the client received; empty for a complete stream.
    stream_id : str
        Id of the attempt that brought the first event of the stream; empty if it is
        this one.
    tokens : int
        Prompt tokens plus the maximum of output tokens; 0 if unknown.
    affinity : str
        Key of the prompt's shared prefix; empty without one.
    fingerprint : int
        Digest of the request, the same for each attempt.
    prompt_parts : tuple of int
        Digests of the prompt's parts that other requests may share, in order.
    identity : Identity or None
        Who sent it; None if it needed no key.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_ms: int
    max_wait_ms: int = 0
    resume_after: str = ""
    stream_id: str = ""
    tokens: int = 0
    affinity: str = ""
    fingerprint: int = 0
    prompt_parts: tuple[int, ...] = ()
    identity: Identity | None = None

    @property
    def customer_name(self) -> str:
        """Name of the customer that sent it; empty if it needed no key."""
        return self.identity.customer.name if self.identity is not None else ""

    @property
    def stream_key(self) -> int:
        """Digest that identifies the stream over all attempts of the client."""
        return stream_key(host=self.host, request_id=self.stream_id or self.request_id)
