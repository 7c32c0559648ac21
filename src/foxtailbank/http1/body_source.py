"""Response body that is received in chunks."""

import abc
import enum


class BodyFraming(enum.Enum):
    """What marks the end of a response body; the value is used in log lines."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


class BodySource(abc.ABC):
    """Source of a response body."""

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was received with the last chunk."""
        return False

    @abc.abstractmethod
    async def next_chunk(self, timeout_ms: float) -> bytes | None:
        """Return the next chunk of the body, or None at its regular end.

        Raises
        ------
        ExchangeFailed
            The response was truncated or malformed, or timed out.
        """

    async def read_all(self, timeout_ms: float) -> bytes:
        """Return the remainder of the body.

        Parameters
        ----------
        timeout_ms : float
            Bound on the wait for each chunk, in milliseconds.

        Raises
        ------
        ExchangeFailed
            As for `next_chunk`.
        """
        chunks = []
        while (chunk := await self.next_chunk(timeout_ms)) is not None:
            chunks.append(chunk)
        return b"".join(chunks)
