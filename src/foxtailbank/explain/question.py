"""What is asked about a request that is not sent."""

import dataclasses

from foxtailbank.customers.customer import Customer, Identity
from foxtailbank.fleet.crash_report import request_fingerprint
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.call import Call
from foxtailbank.forward.route import Route


@dataclasses.dataclass(frozen=True, kw_only=True)
class Question:
    """A request, as far as decisions depend on it.

    Attributes
    ----------
    method, host, target : str
        Method, host and path of the request.
    customer : str
        Name of the customer whose key it would bear; empty for no key.
    is_item : bool
        Whether it is an item of a batch submission that was accepted already.
    route : str
        Of an item, name of the route that its submission arrived at; empty if it is
        that of `target`.
    tokens : int
        Prompt tokens plus the maximum of output tokens; 0 if unknown.
    affinity : str
        Key of the prompt's shared prefix; empty without one.
    prompt_parts : tuple of int
        Digests of the prompt's parts that other requests may share, in order.
    body_bytes : int
        Size of its body.
    software_version : str
        Software that began the stream or the output which it continues; empty if it
        begins one.
    shows_all : bool
        Whether all candidates are asked for.
    """

    method: str
    host: str
    target: str
    customer: str = ""
    is_item: bool = False
    route: str = ""
    tokens: int = 0
    affinity: str = ""
    prompt_parts: tuple[int, ...] = ()
    body_bytes: int = 0
    software_version: str = ""
    shows_all: bool = False

    @property
    def path(self) -> str:
        """Target without the query string."""
        return self.target.partition("?")[0]

    def origin(self, route: Route) -> StreamOrigin | None:
        """Return the software that began what it continues; None if it begins."""
        if not self.software_version:
            return None
        service = min(route.services)
        return StreamOrigin(service=service, software_version=self.software_version)

    def make_call(self, customer: Customer | None, now_ms: int) -> Call:
        """Return the request; its body, which is not known, is empty."""
        identity = Identity(customer=customer, key_hash="") if customer else None
        return Call(
            request_id="",
            method=self.method,
            target=self.target,
            host=self.host,
            headers=(),
            body=b"",
            arrived_ms=now_ms,
            tokens=self.tokens,
            affinity=self.affinity,
            fingerprint=request_fingerprint(
                host=self.host, target=self.target, body=b""
            ),
            prompt_parts=self.prompt_parts,
            identity=identity,
        )
