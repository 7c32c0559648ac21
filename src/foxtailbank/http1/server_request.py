"""A request as a server has read it."""

import dataclasses

from foxtailbank.headers import Headers


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerRequest:
    """A whole request.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as sent.
    headers : tuple of (str, str)
        Headers in the order of arrival, names in lower case.
    body : bytes
        Content without transfer coding.
    arrived_ms : int
        When its last byte was read, on the VM's clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_ms: int

    def get(self, name: str) -> str:
        """Return a header's value, or an empty text; the name is in lower case."""
        for own, value in self.headers:
            if own == name:
                return value
        return ""

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]
