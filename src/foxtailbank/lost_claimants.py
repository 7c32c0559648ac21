"""Detects claimants that have been absent long enough to abandon their leases."""

import typing as t

from foxtailbank.clock import Clock

LOST_AFTER_MS = 15_000


class LostClaimants:
    """Tracks since when each incarnation has been absent.

    Parameters
    ----------
    clock : Clock
        Source of time.
    incarnation_of : callable
        Returns the incarnation number of a live VM, or None.
    """

    def __init__(
        self, *, clock: Clock, incarnation_of: t.Callable[[str], int | None]
    ) -> None:
        self._clock = clock
        self._incarnation_of = incarnation_of
        self._absent_since_by_incarnation: dict[str, int] = {}

    def is_lost(self, incarnation: str) -> bool:
        """Return whether an incarnation has been absent for `LOST_AFTER_MS`.

        Parameters
        ----------
        incarnation : str
            ``"VM@NUMBER"``.
        """
        vm_id, _, number = incarnation.rpartition("@")
        if str(self._incarnation_of(vm_id)) == number:
            self._absent_since_by_incarnation.pop(incarnation, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._absent_since_by_incarnation.setdefault(incarnation, now_ms)
        return now_ms - since_ms >= LOST_AFTER_MS
