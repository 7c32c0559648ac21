"""Interface of the receivers of a response."""

import abc

from foxtailbank.vm_list import Vm


class Sink(abc.ABC):
    """Receives one response: its head once, then its body in chunks.

    Attributes
    ----------
    started : bool
        Whether the head was received, after which the response can no longer be
        replaced by another.
    """

    started = False

    def on_writer(self, endpoint: Vm) -> None:  # noqa: B027 (optional)
        """Handle that the next chunks are the output of an endpoint.

        Parameters
        ----------
        endpoint : Vm
            The endpoint.
        """

    @abc.abstractmethod
    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Accept the response head.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            Headers of the response.
        """

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Accept a chunk of the body.

        Parameters
        ----------
        chunk : bytes
            Non-empty chunk.
        """
