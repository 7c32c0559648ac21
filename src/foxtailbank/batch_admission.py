"""Limits of entries on the batch items that run."""

from foxtailbank.admission import Admission, Admit, Refusal
from foxtailbank.clock import Clock
from foxtailbank.entry import Entry


class BatchAdmission:
    """Admits batch items within this VM's part of their entry's limits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    admission : Admission
        Limits in force.
    """

    def __init__(self, *, clock: Clock, admission: Admission) -> None:
        self._clock = clock
        self._admission = admission
        self._held_until_by_entry: dict[str, int] = {}

    def is_held(self, entry_name: str) -> bool:
        """Return whether items of an entry have to wait for its limits."""
        until_ms = self._held_until_by_entry.get(entry_name)
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._held_until_by_entry[entry_name]
        return False

    def enter(self, entry: Entry) -> Admit | None:
        """Admit an item; None if its entry is at a limit, and held for a while.

        Tokens are charged when they are known, at the item's end.
        """
        now_ms = self._clock.now_ms()
        verdict = self._admission.admit(
            keys=(f"entry:{entry.name}",), tokens=0, now_ms=now_ms
        )
        if isinstance(verdict, Refusal):
            self._held_until_by_entry[entry.name] = now_ms + verdict.retry_after_ms
            return None
        return verdict

    def leave(self, admit: Admit) -> None:
        """End an admitted item."""
        self._admission.release(admit, used_tokens=0, now_ms=self._clock.now_ms())
