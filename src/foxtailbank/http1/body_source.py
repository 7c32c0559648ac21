"""A body that arrives in pieces."""

import abc


class BodySource(abc.ABC):
    """What the body of an answer is read from."""

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body has come with the last piece."""
        return False

    @abc.abstractmethod
    async def next_part(self, timeout_ms: float) -> bytes | None:
        """Return the next piece of the body, or None at its proper end.

        Raises
        ------
        ExchangeFailed
            The answer broke off, was spoilt, or fell silent.
        """

    async def rest(self, timeout_ms: float) -> bytes:
        """Return all that is left of the body.

        Parameters
        ----------
        timeout_ms : float
            Longest silence before each piece, in milliseconds.

        Raises
        ------
        ExchangeFailed
            As for `next_part`.
        """
        parts = []
        while (part := await self.next_part(timeout_ms)) is not None:
            parts.append(part)
        return b"".join(parts)
