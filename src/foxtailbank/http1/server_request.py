"""Request received by the HTTP/1.1 server."""

import dataclasses

from foxtailbank.headers import Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerRequest:
    """A completely received request.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as sent.
    headers : tuple of (str, str)
        Headers in the order of arrival, names in lower case.
    body : bytes
        Request body without transfer coding.
    arrived_ms : int
        Time at which its last byte was read, on the VM's clock.
    is_body_dropped : bool
        Whether it had a body, which was not kept as nothing had a use for it.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_ms: int
    is_body_dropped: bool = False

    def get(self, name: str) -> str:
        """Return a header's value, or an empty string; `name` is in lower case."""
        for header, value in self.headers:
            if header == name:
                return value
        return ""

    @property
    def path(self) -> str:
        """Target without the query string."""
        return self.target.partition("?")[0]
