"""When each availability zone was last heard from."""

from foxtailbank import peer_messages as pm


class ZoneContacts:
    """Times of contact, each proved by an answer to an own question.

    A contact counts from the moment at which the question was sent, so that an
    answer which waited in a buffer while this VM was suspended proves no more
    than it should.
    """

    def __init__(self) -> None:
        self._contact_at_by_zone: dict[str, int] = {}

    def note(self, zone: str, *, at_ms: int) -> None:
        """Note a contact."""
        known_ms = self._contact_at_by_zone.get(zone)
        if known_ms is None or at_ms > known_ms:
            self._contact_at_by_zone[zone] = at_ms

    def note_ages(self, ages: tuple[pm.ZoneAge, ...], *, asked_ms: int) -> None:
        """Note what a VM answered to a question asked at ``asked_ms``."""
        for one in ages:
            self.note(one.zone, at_ms=asked_ms - one.age_ms)

    def age_ms(self, zone: str, *, now_ms: int) -> int | None:
        """Return milliseconds since the latest contact; None if there was none."""
        contact_ms = self._contact_at_by_zone.get(zone)
        return None if contact_ms is None else now_ms - contact_ms

    def ages(self, *, within_ms: int, now_ms: int) -> tuple[pm.ZoneAge, ...]:
        """Return the ages of contacts within a bound."""
        return tuple(
            pm.ZoneAge(zone=zone, age_ms=now_ms - at_ms)
            for zone, at_ms in self._contact_at_by_zone.items()
            if now_ms - at_ms <= within_ms
        )
