"""Admission of batch items within the limits of their entry."""

from foxtailbank.admission import Admission, Admitted, Refusal
from foxtailbank.clock import Clock
from foxtailbank.entry import Entry


class BatchAdmission:
    """Admits batch items within this VM's share of their entry's limits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    admission : Admission
        Limits that apply.
    """

    def __init__(self, *, clock: Clock, admission: Admission) -> None:
        self._clock = clock
        self._admission = admission
        self._throttled_until_ms_by_entry: dict[str, int] = {}

    def is_throttled(self, entry_name: str) -> bool:
        """Return whether items of an entry have to wait because of its limits."""
        until_ms = self._throttled_until_ms_by_entry.get(entry_name)
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._throttled_until_ms_by_entry[entry_name]
        return False

    def admit(self, entry: Entry) -> Admitted | None:
        """Admit an item.

        Tokens are not charged here, since their number is known only at the item's
        end.

        Returns
        -------
        Admitted or None
            None if the entry is at a limit. Its items then have to wait for the time
            that the refusal gives.
        """
        now_ms = self._clock.now_ms()
        verdict = self._admission.admit(
            keys=(f"entry:{entry.name}",), tokens=0, now_ms=now_ms
        )
        if isinstance(verdict, Refusal):
            self._throttled_until_ms_by_entry[entry.name] = (
                now_ms + verdict.retry_after_ms
            )
            return None
        return verdict

    def release(self, admit: Admitted) -> None:
        """Release the capacity of an admitted item when it ends."""
        self._admission.release(admit, used_tokens=0, now_ms=self._clock.now_ms())
