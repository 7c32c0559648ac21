"""HTTP client of the platform's weight store."""

import msgspec

from foxtailbank.http_platform import TIMEOUT_MS, HttpPlatformClient
from foxtailbank.weight_store import Weights, WeightStore


class _StoreListing(msgspec.Struct, frozen=True):
    rate_bytes_per_s: int
    weights: tuple[Weights, ...]


class HttpWeightStore(WeightStore):
    """Weight store that is read over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_ms : int
        Bound on a request and its response, in milliseconds.
    """

    def __init__(self, *, address: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self._client = HttpPlatformClient(address=address, timeout_ms=timeout_ms)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def rate_bytes_per_s(self) -> int:
        """Return the rate limit shared by all readers, in bytes per second.

        Raises
        ------
        PlatformUnavailable
            The store did not respond, or its response is invalid.
        """
        return (await self._fetch_listing()).rate_bytes_per_s

    async def weights(self) -> tuple[Weights, ...]:
        """Return all stored models and adapters.

        Raises
        ------
        PlatformUnavailable
            The store did not respond, or its response is invalid.
        """
        return (await self._fetch_listing()).weights

    async def _fetch_listing(self) -> _StoreListing:
        return await self._client.fetch("/weights", _StoreListing)
