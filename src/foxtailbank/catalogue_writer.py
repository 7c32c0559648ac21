"""Appends catalogue edits and waits for this VM's own verdict on them."""

import anyio

from foxtailbank.catalogue_events import CatalogueEvent, EditConflict, EntryChanged
from foxtailbank.catalogue_records import (
    SCHEMA,
    STREAM,
    CatalogueEdit,
    CatalogueEnvelope,
    CatalogueSnapshot,
    encode_envelope,
)
from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import LogUnavailable, Ran, VersionConflict
from foxtailbank.log_service import LogService

RETRY_AFTER_MS = 1_000
CONFIRM_MS = 5_000


class CatalogueWriter:
    """Publishes edits of one VM incarnation, one at a time.

    Parameters
    ----------
    log : LogService
        Where to append.
    incarnation : str
        This run of this VM.
    """

    def __init__(self, *, log: LogService, incarnation: str) -> None:
        self._log = log
        self._incarnation = incarnation
        self._sequence = 0
        self._lock = anyio.Lock()
        self._events_by_edit_id: dict[str, CatalogueEvent] = {}
        self._applied_by_edit_id: dict[str, anyio.Event] = {}

    def applied(self, events: tuple[CatalogueEvent, ...]) -> None:
        """Take note of what the replay of a record changed."""
        for event in events:
            if not isinstance(event, EntryChanged | EditConflict):
                continue
            waiter = self._applied_by_edit_id.get(event.edit_id)
            if waiter is not None:
                self._events_by_edit_id[event.edit_id] = event
                waiter.set()

    async def publish(self, edit: CatalogueEdit) -> int:
        """Append an edit and wait for the verdict.

        Parameters
        ----------
        edit : CatalogueEdit
            The edit; its `edit_id` is unique.

        Returns
        -------
        int
            Version of the entry after the edit.

        Raises
        ------
        VersionConflict
            The entry is no longer at the version that the edit was based on, or
            a key belongs to another owner.
        LogUnavailable
            The edit was not confirmed; ``ran`` tells whether it may take effect.
        """
        applied = anyio.Event()
        self._applied_by_edit_id[edit.edit_id] = applied
        try:
            await self._append(edit)
            with anyio.move_on_after(CONFIRM_MS / MS_PER_S):
                await applied.wait()
            if not applied.is_set():
                raise _unconfirmed("the edit was appended but not seen yet")
            return _version(self._events_by_edit_id[edit.edit_id])
        finally:
            del self._applied_by_edit_id[edit.edit_id]
            self._events_by_edit_id.pop(edit.edit_id, None)

    async def append_snapshot(self, snapshot: CatalogueSnapshot) -> None:
        """Append a snapshot.

        Raises
        ------
        LogUnavailable
            It was not confirmed; another copy does no harm.
        """
        await self._append(snapshot)

    async def _append(self, edit: CatalogueEdit | CatalogueSnapshot) -> None:
        async with self._lock:
            self._sequence += 1
            envelope = CatalogueEnvelope(
                schema=SCHEMA,
                incarnation=self._incarnation,
                sequence=self._sequence,
                entries=(edit,),
            )
            data = encode_envelope(envelope)
            try:
                await self._log.append(stream=STREAM, data=data)
            except LogUnavailable as failure:
                if failure.ran is Ran.NO:
                    raise
                # The same record once more: replay drops the second copy.
                await self._append_again(data)

    async def _append_again(self, data: bytes) -> None:
        try:
            await self._log.append(stream=STREAM, data=data)
        except LogUnavailable as failure:
            raise _unconfirmed(failure.detail) from failure


def _version(event: CatalogueEvent) -> int:
    if isinstance(event, EntryChanged):
        return event.version
    assert isinstance(event, EditConflict)
    raise VersionConflict(
        detail=(
            f"`{event.name}` is at version {event.current}, "
            f"not {event.based_on}: {event.reason.value}"
        )
    )


def _unconfirmed(detail: str) -> LogUnavailable:
    return LogUnavailable(detail=detail, retry_after_ms=RETRY_AFTER_MS, ran=Ran.UNKNOWN)
