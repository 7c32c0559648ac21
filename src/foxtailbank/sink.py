"""Where an answer goes while it arrives."""

import abc


class Sink(abc.ABC):
    """Takes one answer: its head once, then its content.

    Attributes
    ----------
    started : bool
        Whether the head has been taken; the answer can't be another one then.
    """

    started = False

    @abc.abstractmethod
    async def start(self, *, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Take the head.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (str, str)
            Headers of the answer.
        """

    @abc.abstractmethod
    async def write(self, part: bytes) -> None:
        """Take content.

        Parameters
        ----------
        part : bytes
            Not empty.
        """
