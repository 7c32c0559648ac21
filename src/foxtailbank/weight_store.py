"""The platform's weight store, as the system sees it."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """One stored version of a model or adapter.

    Attributes
    ----------
    name : str
        Model or adapter.
    version : str
        Version.
    size_bytes : int
        Size in bytes.
    """

    name: str
    version: str
    size_bytes: int


class WeightStore(abc.ABC):
    """Store that engines load weights from; its rate is limited."""

    @abc.abstractmethod
    async def rate_bytes_per_s(self) -> int:
        """Return the rate limit in bytes a second, for all readers together."""

    @abc.abstractmethod
    async def weights(self) -> tuple[Weights, ...]:
        """Return what is stored.

        Raises
        ------
        PlatformUnavailable
            The store gave no answer.
        """
