"""Weight store of the platform stand-in."""

import msgspec

from foxtailbank.weight_store import Weights
from foxtailbank_bench.exchange import Exchange
from foxtailbank_bench.rate_limiter import RateLimiter
from foxtailbank_bench.stand_in import NOT_FOUND

DEFAULT_RATE_BYTES_PER_S = 1 << 30


class _Size(msgspec.Struct):
    size_bytes: int


class PlatformWeights:
    """Model weights whose readers share one read rate.

    Parameters
    ----------
    weights : tuple of Weights
        Initial content of the store.
    rate_bytes_per_s : int
        Read rate shared by all readers.
    """

    def __init__(self, *, weights: tuple[Weights, ...], rate_bytes_per_s: int) -> None:
        self._weights_by_key = {(item.name, item.version): item for item in weights}
        self._pacer = RateLimiter(units_per_s=rate_bytes_per_s)
        self.reads = 0

    def set_rate(self, *, bytes_per_s: int) -> None:
        """Change the read rate shared by all readers."""
        self._pacer.units_per_s = bytes_per_s

    async def list(self, exchange: Exchange) -> None:
        """Respond with the read rate and all weights."""
        weights = list(self._weights_by_key.values())
        rate = self._pacer.units_per_s
        await exchange.send_json({"rate_bytes_per_s": rate, "weights": weights})

    async def put(self, name: str, version: str, exchange: Exchange) -> None:
        """Add or replace weights."""
        size_bytes = exchange.decode_json(_Size).size_bytes
        item = Weights(name=name, version=version, size_bytes=size_bytes)
        self._weights_by_key[name, version] = item
        await exchange.send_json(item)

    async def read(self, name: str, version: str, exchange: Exchange) -> None:
        """Respond after the time that the read takes at the shared rate."""
        item = self._weights_by_key.get((name, version))
        if item is None:
            await exchange.send_json({"error": "no such weights"}, status=NOT_FOUND)
            return
        self.reads += 1
        await self._pacer.acquire(item.size_bytes)
        await exchange.send_json(item)
