"""Appends catalogue edits and waits until this VM's replay has applied them."""

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
CONFIRM_TIMEOUT_MS = 5_000


class CatalogueWriter:
    """Appends edits of one incarnation, one at a time.

    Parameters
    ----------
    log : LogService
        Log to append to.
    incarnation : str
        Identifies this run of this VM's process.
    """

    def __init__(self, *, log: LogService, incarnation: str) -> None:
        self._log = log
        self._incarnation = incarnation
        self._sequence = 0
        self._lock = anyio.Lock()
        self._events_by_edit_id: dict[str, CatalogueEvent] = {}
        self._applied_by_edit_id: dict[str, anyio.Event] = {}

    def on_applied(self, events: tuple[CatalogueEvent, ...]) -> None:
        """Pass outcomes of replayed edits to the calls that wait for them."""
        for event in events:
            if not isinstance(event, EntryChanged | EditConflict):
                continue
            waiter = self._applied_by_edit_id.get(event.edit_id)
            if waiter is not None:
                self._events_by_edit_id[event.edit_id] = event
                waiter.set()

    async def publish(self, edit: CatalogueEdit) -> int:
        """Append an edit and wait for its outcome.

        Parameters
        ----------
        edit : CatalogueEdit
            Its `edit_id` must be unique.

        Returns
        -------
        int
            Version of the entry after the edit.

        Raises
        ------
        VersionConflict
            The edit was rejected: the entry is not at the version that the edit
            was based on, a key belongs to another owner, or the names differ.
        LogUnavailable
            The edit was not confirmed; ``ran`` tells whether it may still take
            effect.
        """
        applied = anyio.Event()
        self._applied_by_edit_id[edit.edit_id] = applied
        try:
            await self._append(edit)
            with anyio.move_on_after(CONFIRM_TIMEOUT_MS / MS_PER_S):
                await applied.wait()
            if not applied.is_set():
                raise _unconfirmed_error(
                    "the edit was appended but not replayed in time"
                )
            return _version_or_raise(self._events_by_edit_id[edit.edit_id])
        finally:
            del self._applied_by_edit_id[edit.edit_id]
            self._events_by_edit_id.pop(edit.edit_id, None)

    async def append_snapshot(self, snapshot: CatalogueSnapshot) -> None:
        """Append a snapshot.

        Raises
        ------
        LogUnavailable
            The append was not confirmed. It may be repeated: several copies of a
            snapshot are harmless.
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
                # Replay drops the second copy by its sequence number.
                await self._retry_append(data)

    async def _retry_append(self, data: bytes) -> None:
        try:
            await self._log.append(stream=STREAM, data=data)
        except LogUnavailable as failure:
            raise _unconfirmed_error(failure.detail) from failure


def _version_or_raise(event: CatalogueEvent) -> int:
    if isinstance(event, EntryChanged):
        return event.version
    assert isinstance(event, EditConflict)
    raise VersionConflict(
        detail=(
            f"`{event.name}` is at version {event.current}, "
            f"not {event.based_on}: {event.reason.value}"
        )
    )


def _unconfirmed_error(detail: str) -> LogUnavailable:
    return LogUnavailable(detail=detail, retry_after_ms=RETRY_AFTER_MS, ran=Ran.UNKNOWN)
