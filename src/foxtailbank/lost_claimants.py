"""Which claimants have been gone so long that their claims are given up."""

import typing as t

from foxtailbank.clock import Clock

LOST_MS = 15_000


class LostClaimants:
    """Remembers since when an incarnation has not been seen live.

    Parameters
    ----------
    clock : Clock
        Source of time.
    incarnation_of : callable
        Gives the incarnation number of a live VM, or None.
    """

    def __init__(
        self, *, clock: Clock, incarnation_of: t.Callable[[str], int | None]
    ) -> None:
        self._clock = clock
        self._incarnation_of = incarnation_of
        self._gone_since_by_name: dict[str, int] = {}

    def is_lost(self, incarnation: str) -> bool:
        """Return whether an incarnation has been gone for `LOST_MS`.

        Parameters
        ----------
        incarnation : str
            ``"VM@NUMBER"``.
        """
        vm_id, _, number = incarnation.rpartition("@")
        if str(self._incarnation_of(vm_id)) == number:
            self._gone_since_by_name.pop(incarnation, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._gone_since_by_name.setdefault(incarnation, now_ms)
        return now_ms - since_ms >= LOST_MS
