"""Where a handler writes its answer."""

import abc

from foxtailbank.headers import Headers


class Responder(abc.ABC):
    """One answer to one request.

    An answer that is started and not finished reaches the client as broken off.
    """

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether a status line was sent."""

    @abc.abstractmethod
    async def start(
        self, *, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Send the head.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            End-to-end headers without a length.
        length : int, optional
            Length of the body in bytes; chunked if not given.
        """

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a piece of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Mark the answer as complete."""

    async def answer(
        self, *, status: int, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Send a whole answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            End-to-end headers.
        body : bytes
            Content.
        """
        await self.start(status=status, headers=headers, length=len(body))
        if body:
            await self.send(body)
        await self.finish()
