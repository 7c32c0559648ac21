"""Shares one rate between all users of a resource."""

import anyio


class Pacer:
    """Serves requests one after the other at a fixed rate.

    Parameters
    ----------
    units_per_s : float
        Rate for all users together; 0 is unlimited.
    """

    def __init__(self, *, units_per_s: float) -> None:
        self.units_per_s = units_per_s
        self._free_at_s = 0.0

    async def use(self, units: float) -> None:
        """Wait until the rate has allowed this many units."""
        if not self.units_per_s:
            return
        now_s = anyio.current_time()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + units / self.units_per_s
        await anyio.sleep(self._free_at_s - now_s)
