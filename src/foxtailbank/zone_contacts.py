"""Time of the last contact with each availability zone."""

from foxtailbank import peer_messages as pm


class ZoneContacts:
    """Contact times, each proved by an answer to a ping from this zone.

    A contact counts from the time at which the ping was sent, not from the arrival
    of the answer: an answer may have waited in a buffer while this VM was suspended,
    and would then make the contact look more recent than it is.
    """

    def __init__(self) -> None:
        self._contact_at_by_zone: dict[str, int] = {}

    def record(self, zone: str, *, at_ms: int) -> None:
        """Record a contact unless a later one is known."""
        known_ms = self._contact_at_by_zone.get(zone)
        if known_ms is None or at_ms > known_ms:
            self._contact_at_by_zone[zone] = at_ms

    def record_ages(self, ages: tuple[pm.ZoneAge, ...], *, asked_ms: int) -> None:
        """Record contact ages reported in answer to a ping at ``asked_ms``."""
        for age in ages:
            self.record(age.zone, at_ms=asked_ms - age.age_ms)

    def age_ms(self, zone: str, *, now_ms: int) -> int | None:
        """Return the time since the latest contact, or None if there was none."""
        contact_ms = self._contact_at_by_zone.get(zone)
        return None if contact_ms is None else now_ms - contact_ms

    def ages(self, *, within_ms: int, now_ms: int) -> tuple[pm.ZoneAge, ...]:
        """Return the ages of contacts that are at most ``within_ms`` old."""
        return tuple(
            pm.ZoneAge(zone=zone, age_ms=now_ms - at_ms)
            for zone, at_ms in self._contact_at_by_zone.items()
            if now_ms - at_ms <= within_ms
        )
