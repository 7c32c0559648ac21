"""Rate limit shared by all users of a resource."""

import anyio


class RateLimiter:
    """Spaces out the use of a resource to a fixed rate, in order of arrival.

    Parameters
    ----------
    units_per_s : float
        Rate for all users together; 0 means unlimited.
    """

    def __init__(self, *, units_per_s: float) -> None:
        self.units_per_s = units_per_s
        self._available_at_s = 0.0

    async def acquire(self, units: float) -> None:
        """Wait until the rate has allowed this many units."""
        if not self.units_per_s:
            return
        now_s = anyio.current_time()
        start_s = max(now_s, self._available_at_s)
        self._available_at_s = start_s + units / self.units_per_s
        await anyio.sleep(self._available_at_s - now_s)
