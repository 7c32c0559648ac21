"""Small facts that are shared with every VM and expire."""

import dataclasses

import xxhash

from foxtailbank import peer_messages as pm

FactKey = tuple[pm.FactKind, str]
MAX_FACTS = 1024
# Sent within a zone only, and not part of the fleet-wide hash.
ZONE_SCOPED_KINDS = frozenset({pm.FactKind.CATALOGUE_APPLIED})


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredFact:
    """A fact with its expiry time on this VM's clock."""

    fact: pm.Fact
    expires_ms: int


class FactTable:
    """Facts by kind and subject; a higher version replaces a lower one."""

    def __init__(self) -> None:
        self._stored_by_key: dict[FactKey, StoredFact] = {}
        self._hash = 0
        self._cursor = 0

    def merge(self, fact: pm.Fact, *, now_ms: int) -> bool:
        """Merge a fact.

        Parameters
        ----------
        fact : Fact
            Received or local fact.
        now_ms : int
            Current time.

        Returns
        -------
        bool
            Whether it was new or newer than the stored fact; False if the table
            is full.
        """
        key = (fact.kind, fact.subject)
        stored = self._stored_by_key.get(key)
        if stored is not None and stored.fact.version >= fact.version:
            return False
        if fact.remaining_ms <= 0:
            return False
        if stored is None and len(self._stored_by_key) >= MAX_FACTS:
            return False
        if stored is not None:
            self._hash ^= _fact_hash(stored.fact)
        self._hash ^= _fact_hash(fact)
        self._stored_by_key[key] = StoredFact(
            fact=fact, expires_ms=now_ms + fact.remaining_ms
        )
        return True

    def get(self, key: FactKey, *, now_ms: int) -> pm.Fact | None:
        """Return a fact with its remaining lifetime, or None if it has expired."""
        stored = self._stored_by_key.get(key)
        if stored is None or stored.expires_ms <= now_ms:
            return None
        return dataclasses.replace(stored.fact, remaining_ms=stored.expires_ms - now_ms)

    def active(self, kind: pm.FactKind, *, now_ms: int) -> tuple[pm.Fact, ...]:
        """Return the facts of a kind that are neither expired nor cleared."""
        found = (
            self.get(key, now_ms=now_ms)
            for key in self._stored_by_key
            if key[0] == kind
        )
        return tuple(fact for fact in found if fact is not None and not fact.is_cleared)

    def expire(self, *, now_ms: int) -> tuple[FactKey, ...]:
        """Drop expired facts and return their keys."""
        expired = [
            key
            for key, stored in self._stored_by_key.items()
            if stored.expires_ms <= now_ms
        ]
        for key in expired:
            self._hash ^= _fact_hash(self._stored_by_key.pop(key).fact)
        return tuple(expired)

    @property
    def fleet_hash(self) -> int:
        """Hash over the facts that are shared with the whole fleet."""
        return self._hash

    def next_keys(self, count: int) -> tuple[FactKey, ...]:
        """Return the next keys of fleet-wide facts, in rotation."""
        keys = [key for key in self._stored_by_key if key[0] not in ZONE_SCOPED_KINDS]
        if not keys:
            return ()
        start = self._cursor % len(keys)
        self._cursor = start + count
        return tuple((keys[start:] + keys[:start])[:count])


def _fact_hash(fact: pm.Fact) -> int:
    if fact.kind in ZONE_SCOPED_KINDS:
        return 0
    return xxhash.xxh3_64_intdigest(f"{fact.kind}\0{fact.subject}\0{fact.version}")
