"""Interface through which a handler writes its response."""

import abc

from foxtailbank.headers import Headers


class Responder(abc.ABC):
    """Writes the response to one request.

    A response that is started but not finished reaches the client truncated.
    """

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the response was started, after which its status is fixed."""

    @abc.abstractmethod
    async def start(
        self, *, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Send the response head.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            End-to-end headers without ``Content-Length``.
        length : int, optional
            Length of the body in bytes; None for chunked transfer coding.
        """

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Mark the response as complete."""

    async def respond(
        self, *, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Send a complete response.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            End-to-end headers.
        body : bytes
            Response body.
        """
        await self.start(status=status, headers=headers, length=len(body))
        if body:
            await self.send(body)
        await self.finish()
