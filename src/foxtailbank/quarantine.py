"""Requests that took down endpoints, and how they are kept apart."""

import dataclasses
import typing as t

from foxtailbank.exceptions import Quarantined
from foxtailbank.isolation import Isolation

MARK_TTL_MS = 600_000
QUARANTINE_TTL_MS = 1_800_000
MAX_FINGERPRINTS = 10_000
DEATHS_TO_REFUSE = 2
EXCLUSIVE_WAIT_MS = 1000
CLEAR_TOKENS = 16
_EXPIRY_PERIOD_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Fingerprint:
    """Identity of a request over all its repetitions.

    Attributes
    ----------
    owner : str
        Owner of the entry.
    digest : str
        Digest of the request's content.
    """

    owner: str
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeathMark:
    """A request was in flight on an endpoint that died.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    death_id : str
        The endpoint with the number of its incarnation; the same on every VM that
        saw this death, where the incarnation is known.
    exclusive : bool
        Whether nothing else was in flight on the endpoint.
    cleared : bool
        Whether the request has completed since on another endpoint.
    expires_wall_ms : int
        When the mark lapses, in wall milliseconds.
    """

    fingerprint: Fingerprint
    death_id: str
    exclusive: bool
    cleared: bool
    expires_wall_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """How a request may be run.

    Attributes
    ----------
    isolation : Isolation
        What it may share an endpoint with.
    retry_after_ms : int
        Milliseconds until a refusal lapses.
    """

    isolation: Isolation
    retry_after_ms: int = 0

    def error(self) -> Quarantined:
        """Return the failure for the caller of a refused request."""
        return Quarantined(
            detail="the request took down endpoints before",
            retry_after_ms=self.retry_after_ms,
        )


_CLEAN = Verdict(isolation=Isolation.NONE)


class Quarantine:
    """Marks of endpoint deaths, merged over all VMs.

    A request that was in flight at a death runs exclusively from then on, or, if no
    endpoint can be had for that, as the only suspect on an endpoint. It is refused
    only after an endpoint died while the request ran there exclusively. Marks form a
    set that grows by union, and each flag in a mark only ever turns on, so that merging
    is idempotent and commutative. Times are wall milliseconds, since VMs compare them.

    Parameters
    ----------
    mark_ttl_ms : int
        Life of a mark in milliseconds.
    quarantine_ttl_ms : int
        Life of a mark that proves the request guilty, in milliseconds.
    max_fingerprints : int
        Bound on the requests that are remembered.
    """

    def __init__(
        self,
        *,
        mark_ttl_ms: int = MARK_TTL_MS,
        quarantine_ttl_ms: int = QUARANTINE_TTL_MS,
        max_fingerprints: int = MAX_FINGERPRINTS,
    ) -> None:
        self._mark_ttl_ms = mark_ttl_ms
        self._quarantine_ttl_ms = quarantine_ttl_ms
        self._max_fingerprints = max_fingerprints
        self._next_expiry_ms = 0
        self._marks_by_fingerprint: dict[Fingerprint, dict[str, DeathMark]] = {}

    def verdict(
        self, fingerprint: Fingerprint, now_ms: int, *, waited_ms: int = 0
    ) -> Verdict:
        """Return how a request may be run.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        now_ms : int
            Present wall time in milliseconds.
        waited_ms : int
            How long the request has waited for an exclusive run. After
            `EXCLUSIVE_WAIT_MS` a request that saw one death may share an endpoint
            with requests that are not suspect.
        """
        marks = self._live_marks(fingerprint, now_ms)
        if not marks:
            return _CLEAN
        guilty = [mark for mark in marks if mark.exclusive]
        if guilty and len(marks) >= DEATHS_TO_REFUSE:
            expires_wall_ms = max(mark.expires_wall_ms for mark in guilty)
            return Verdict(
                isolation=Isolation.REFUSED, retry_after_ms=expires_wall_ms - now_ms
            )
        if len(marks) == 1 and not guilty and waited_ms >= EXCLUSIVE_WAIT_MS:
            return Verdict(isolation=Isolation.SOLE_SUSPECT)
        return Verdict(isolation=Isolation.EXCLUSIVE)

    def on_death(
        self,
        *,
        death_id: str,
        in_flight: t.Iterable[Fingerprint],
        exclusive: bool,
        now_ms: int,
    ) -> tuple[DeathMark, ...]:
        """Mark what was in flight on an endpoint when it died.

        Parameters
        ----------
        death_id : str
            The endpoint with its incarnation.
        in_flight : iterable of Fingerprint
            Requests of this VM that the endpoint was running.
        exclusive : bool
            Whether the endpoint was kept free for the only one of them.
        now_ms : int
            Present wall time in milliseconds.

        Returns
        -------
        tuple of DeathMark
            Marks to tell all VMs before the requests are answered or retried.
        """
        ttl_ms = self._quarantine_ttl_ms if exclusive else self._mark_ttl_ms
        marks = tuple(
            DeathMark(
                fingerprint=fingerprint,
                death_id=death_id,
                exclusive=exclusive,
                cleared=False,
                expires_wall_ms=now_ms + ttl_ms,
            )
            for fingerprint in sorted(set(in_flight))
        )
        return self.merge(marks, now_ms)

    def on_complete(
        self, fingerprint: Fingerprint, now_ms: int
    ) -> tuple[DeathMark, ...]:
        """Clear a request that completed.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        now_ms : int
            Present wall time in milliseconds.

        Returns
        -------
        tuple of DeathMark
            Cleared marks to tell all VMs.
        """
        marks = self._live_marks(fingerprint, now_ms)
        cleared = tuple(dataclasses.replace(mark, cleared=True) for mark in marks)
        return self.merge(cleared, now_ms)

    def on_progress(
        self, fingerprint: Fingerprint, *, tokens_beyond: int, now_ms: int
    ) -> tuple[DeathMark, ...]:
        """Clear a request that went on well beyond where it was at the last death.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        tokens_beyond : int
            Tokens received in this attempt beyond those seen in any before it.
        now_ms : int
            Present wall time in milliseconds.

        Returns
        -------
        tuple of DeathMark
            Cleared marks to tell all VMs.
        """
        if tokens_beyond < CLEAR_TOKENS:
            return ()
        return self.on_complete(fingerprint, now_ms)

    def merge(self, marks: t.Iterable[DeathMark], now_ms: int) -> tuple[DeathMark, ...]:
        """Take in marks of this or another VM.

        Parameters
        ----------
        marks : iterable of DeathMark
            Marks.
        now_ms : int
            Present wall time in milliseconds.

        Returns
        -------
        tuple of DeathMark
            Those that changed what was known, to be passed on. Requests that they
            name and that run here without isolation are to be stopped and run again
            under their verdict.
        """
        changed = []
        for mark in marks:
            if mark.expires_wall_ms <= now_ms:
                continue
            known = self._marks_by_fingerprint.setdefault(mark.fingerprint, {})
            before = known.get(mark.death_id)
            after = mark if before is None else _join(before, mark)
            if after != before:
                known[mark.death_id] = after
                changed.append(after)
        if now_ms >= self._next_expiry_ms:
            self._expire(now_ms)
        return tuple(changed)

    def marks(self, now_ms: int) -> tuple[DeathMark, ...]:
        """Return all marks that have not lapsed, for a VM that has none."""
        self._expire(now_ms)
        return tuple(
            mark
            for marks in self._marks_by_fingerprint.values()
            for mark in marks.values()
        )

    def _live_marks(self, fingerprint: Fingerprint, now_ms: int) -> list[DeathMark]:
        marks = self._marks_by_fingerprint.get(fingerprint, {})
        return [
            mark
            for mark in marks.values()
            if not mark.cleared and mark.expires_wall_ms > now_ms
        ]

    def _expire(self, now_ms: int) -> None:
        self._next_expiry_ms = now_ms + _EXPIRY_PERIOD_MS
        for fingerprint, marks in list(self._marks_by_fingerprint.items()):
            for death_id, mark in list(marks.items()):
                if mark.expires_wall_ms <= now_ms:
                    del marks[death_id]
            if not marks:
                del self._marks_by_fingerprint[fingerprint]
        while len(self._marks_by_fingerprint) > self._max_fingerprints:
            del self._marks_by_fingerprint[next(iter(self._marks_by_fingerprint))]


def _join(first: DeathMark, second: DeathMark) -> DeathMark:
    return dataclasses.replace(
        first,
        exclusive=first.exclusive or second.exclusive,
        cleared=first.cleared or second.cleared,
        expires_wall_ms=max(first.expires_wall_ms, second.expires_wall_ms),
    )
