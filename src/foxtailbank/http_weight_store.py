"""The platform's weight store over HTTP."""

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel
from foxtailbank.http_vm_list import read_platform
from foxtailbank.weight_store import Weights, WeightStore


class _Listing(msgspec.Struct, frozen=True):
    rate_bytes_per_s: int
    weights: tuple[Weights, ...]


class HttpWeightStore(WeightStore):
    """Weight store that is reached over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_ms : int
        Bound on a whole exchange, in milliseconds.
    """

    def __init__(self, *, address: str, timeout_ms: int = 3_000) -> None:
        self._channel = HttpChannel(address=address)
        self._timeout_ms = timeout_ms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    async def rate_bytes_per_s(self) -> int:
        """Return the rate limit in bytes a second, for all readers together.

        Raises
        ------
        PlatformUnavailable
            The store gave no answer.
        """
        return (await self._listing()).rate_bytes_per_s

    async def weights(self) -> tuple[Weights, ...]:
        """Return what is stored.

        Raises
        ------
        PlatformUnavailable
            The store gave no answer.
        """
        return (await self._listing()).weights

    async def _listing(self) -> _Listing:
        body = await read_platform(
            self._channel, "/weights", timeout_ms=self._timeout_ms
        )
        try:
            return msgspec.json.decode(body, type=_Listing)
        except msgspec.MsgspecError as error:
            raise exceptions.PlatformUnavailable(detail=str(error)) from error
