"""Response body that is received in chunks."""

import abc
import enum

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.http1.failures import ResponseTimeout, ResponseTooLarge
from foxtailbank.response_limits import MAX_BODY_BYTES, MAX_REFUSAL_BYTES


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

    async def read_all(
        self, timeout_ms: float, *, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Return the remainder of the body.

        Parameters
        ----------
        timeout_ms : float
            Bound on the wait for each chunk, in milliseconds.
        max_bytes : int
            Bound on the size of the remainder, in bytes.

        Raises
        ------
        ResponseTooLarge
            The body is longer than `max_bytes`.
        ExchangeFailed
            As for `next_chunk`.
        """
        chunks = []
        size = 0
        while (chunk := await self.next_chunk(timeout_ms)) is not None:
            size += len(chunk)
            if size > max_bytes:
                raise ResponseTooLarge(detail=f"body over {max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    async def read_small(self, timeout_ms: float) -> bytes:
        """Return the remainder of a body that is small, and whole in time.

        Parameters
        ----------
        timeout_ms : float
            Bound on the wait for its end, in milliseconds.

        Raises
        ------
        ResponseTimeout
            It did not end in time.
        ExchangeFailed
            As for `read_all`.
        """
        try:
            with anyio.fail_after(timeout_ms / MS_PER_S):
                return await self.read_all(timeout_ms, max_bytes=MAX_REFUSAL_BYTES)
        except TimeoutError as error:
            detail = f"body without an end in {timeout_ms:.0f} ms"
            raise ResponseTimeout(detail=detail) from error
