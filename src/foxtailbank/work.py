"""One request on its way to an endpoint."""

import dataclasses

import xxhash

from foxtailbank.endpoint import EndpointCall
from foxtailbank.entry import Entry, EntryKind
from foxtailbank.quarantine import Fingerprint
from foxtailbank.vm_list import Vm


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """An admitted request that is to be run.

    Attributes
    ----------
    request_id : str
        Identifier of the request on every hop.
    entry : Entry
        Catalogue entry that permits it.
    method, path : str
        HTTP method, and path with query at the endpoint.
    headers : tuple of (str, str)
        Headers for the endpoint.
    body : bytes
        Content.
    streamed : bool
        Whether the response is a token stream.
    batch : bool
        Whether it is an item of a batch job.
    idempotent : bool
        Whether it may be sent more than once.
    fingerprint : Fingerprint
        Identity shared by all repetitions of the request.
    prefix_digest : int
        64-bit digest of the prompt's prefix; 0 without one.
    max_tokens : int
        Maximum number of tokens to generate.
    deadline_at_ms : int
        Deadline for the response, on the time scale of `Clock.now_ms`.
    resume_at : int
        Index of the first requested token.
    writer : Vm or None
        Endpoint that wrote the tokens before; None without any.
    """

    request_id: str
    entry: Entry
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    streamed: bool
    batch: bool
    idempotent: bool
    fingerprint: Fingerprint
    prefix_digest: int
    max_tokens: int
    deadline_at_ms: int
    resume_at: int = 0
    writer: Vm | None = None

    @property
    def is_for_engine(self) -> bool:
        """Whether a model engine runs it."""
        return self.entry.kind is EntryKind.ENGINE

    def call(self, *, resume_at: int) -> EndpointCall:
        """Return the call to the endpoint.

        Parameters
        ----------
        resume_at : int
            Index of the first requested token.
        """
        return EndpointCall(
            request_id=self.request_id,
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=self.body,
            resume_at=resume_at,
            fresh_connection=not self.idempotent,
        )


def fingerprint_of(owner: str, content: bytes) -> Fingerprint:
    """Return the identity shared by all repetitions of a request."""
    return Fingerprint(owner=owner, digest=xxhash.xxh64_hexdigest(content))
