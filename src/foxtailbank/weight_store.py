"""Interface of the platform's weight store."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """One stored version of a model or adapter.

    Attributes
    ----------
    name : str
        Name of the model or adapter.
    version : str
        Version.
    size_bytes : int
        Size in bytes.
    """

    name: str
    version: str
    size_bytes: int


class WeightStore(abc.ABC):
    """Store from which engines load weights, at a limited rate."""

    @abc.abstractmethod
    async def rate_bytes_per_s(self) -> int:
        """Return the rate limit shared by all readers, in bytes per second."""

    @abc.abstractmethod
    async def weights(self) -> tuple[Weights, ...]:
        """Return all stored models and adapters.

        Raises
        ------
        PlatformUnavailable
            The store did not respond, or its response is invalid.
        """
