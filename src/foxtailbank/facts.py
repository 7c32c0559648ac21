"""Small facts that every VM of the fleet is to know for a while."""

import dataclasses

import xxhash

from foxtailbank import peer_messages as pm

FactKey = tuple[pm.FactKind, str]
MAX_FACTS = 1024
ZONE_KINDS = frozenset({pm.FactKind.CATALOGUE_APPLIED})


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldFact:
    """A fact with its end on this VM's clock."""

    fact: pm.Fact
    until_ms: int


class FactTable:
    """Facts by kind and subject; the higher version of a subject wins."""

    def __init__(self) -> None:
        self._held_by_key: dict[FactKey, HeldFact] = {}
        self._hash = 0
        self._cursor = 0

    def merge(self, fact: pm.Fact, *, now_ms: int) -> bool:
        """Take in a fact.

        Parameters
        ----------
        fact : Fact
            What was learned.
        now_ms : int
            Present time.

        Returns
        -------
        bool
            Whether it was newer than what was held; False if the table is full.
        """
        key = (fact.kind, fact.subject)
        held = self._held_by_key.get(key)
        if held is not None and held.fact.version >= fact.version:
            return False
        if fact.remaining_ms <= 0:
            return False
        if held is None and len(self._held_by_key) >= MAX_FACTS:
            return False
        if held is not None:
            self._hash ^= _hash_of(held.fact)
        self._hash ^= _hash_of(fact)
        self._held_by_key[key] = HeldFact(
            fact=fact, until_ms=now_ms + fact.remaining_ms
        )
        return True

    def get(self, key: FactKey, *, now_ms: int) -> pm.Fact | None:
        """Return a fact as it is to be sent, with the time that it still holds."""
        held = self._held_by_key.get(key)
        if held is None or held.until_ms <= now_ms:
            return None
        return dataclasses.replace(held.fact, remaining_ms=held.until_ms - now_ms)

    def holding(self, kind: pm.FactKind, *, now_ms: int) -> tuple[pm.Fact, ...]:
        """Return the facts of a kind that hold now."""
        found = (
            self.get(key, now_ms=now_ms) for key in self._held_by_key if key[0] == kind
        )
        return tuple(one for one in found if one is not None and not one.is_cleared)

    def expire(self, *, now_ms: int) -> tuple[FactKey, ...]:
        """Forget facts whose time is over and return their keys."""
        over = [
            key for key, held in self._held_by_key.items() if held.until_ms <= now_ms
        ]
        for key in over:
            self._hash ^= _hash_of(self._held_by_key.pop(key).fact)
        return tuple(over)

    @property
    def fleet_hash(self) -> int:
        """Hash over the facts that are meant for the whole fleet."""
        return self._hash

    def rotate(self, count: int) -> tuple[FactKey, ...]:
        """Return the next few keys, in rotation over all that are held."""
        keys = [key for key in self._held_by_key if key[0] not in ZONE_KINDS]
        if not keys:
            return ()
        start = self._cursor % len(keys)
        self._cursor = start + count
        return tuple((keys[start:] + keys[:start])[:count])


def _hash_of(fact: pm.Fact) -> int:
    if fact.kind in ZONE_KINDS:
        return 0
    return xxhash.xxh3_64_intdigest(f"{fact.kind}\0{fact.subject}\0{fact.version}")
