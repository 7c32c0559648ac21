"""HTTP client of the platform's weight store."""

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel
from foxtailbank.http_vm_list import fetch_platform_resource
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

    def __init__(self, *, address: str, timeout_ms: int = 3_000) -> None:
        self._channel = HttpChannel(address=address)
        self._timeout_ms = timeout_ms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

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
        body = await fetch_platform_resource(
            self._channel, "/weights", timeout_ms=self._timeout_ms
        )
        try:
            return msgspec.json.decode(body, type=_StoreListing)
        except msgspec.MsgspecError as error:
            raise exceptions.PlatformUnavailable(detail=str(error)) from error
