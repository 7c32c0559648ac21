"""Renews data still in use before the log's retention deletes it."""

import typing as t

import msgspec

from foxtailbank.catalogue_service import CatalogueService
from foxtailbank.clock import Clock
from foxtailbank.events import Event
from foxtailbank.exceptions import OffsetExpired
from foxtailbank.item_set import bitmap_to_ranges
from foxtailbank.ledger_service import LEDGER_STREAM, PAYLOAD_STREAM, LedgerService
from foxtailbank.log_service import LogService
from foxtailbank.logs import LogFields, Logs
from foxtailbank.manifest import Manifest, decode_manifest, manifest_of
from foxtailbank.payload import PayloadInvalid, PayloadKind
from foxtailbank.records import (
    CallPayloadMoved,
    ClaimsAbandoned,
    JobRetired,
    ManifestMoved,
    PayloadFloorRaised,
    PayloadMove,
    PayloadMoved,
)
from foxtailbank.retention import (
    OwnsDuty,
    RenewCallPayload,
    RenewManifest,
    RenewPayload,
    RetentionAction,
    RetentionView,
    RetireJob,
    WriteSnapshot,
    floor_action,
    renewal_actions,
    snapshot_action,
)
from foxtailbank.settings_sections import LogLevel
from foxtailbank.stream_age import StreamAge

PERIOD_MS = 2_000
SNAPSHOT_RECORDS = 2_000
APPEND_TIMEOUT_MS = 10_000
MAX_ACTIONS = 64
CATALOGUE_DUTY = "catalogue-snapshot"


class RetentionTask:
    """Periodic task that renews the records for which this VM is responsible.

    Parameters
    ----------
    clock : Clock
        Source of time.
    retention_ms : int
        How long the log retains a record, in milliseconds.
    log : LogService
        The platform's log.
    service : LedgerService
        Jobs, calls and their payloads.
    catalogue : CatalogueService
        Service that holds the entries in effect.
    logs : Logs
        Receives a line for each snapshot and each lost payload.
    owns : callable
        Says whether this VM is responsible for a duty, by name.
    is_lost : callable
        Says whether an incarnation departed long enough ago to abandon its claims.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        retention_ms: int,
        log: LogService,
        service: LedgerService,
        catalogue: CatalogueService,
        logs: Logs,
        owns: OwnsDuty,
        is_lost: t.Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._ages_by_stream = {
            stream: StreamAge(retention_ms=retention_ms)
            for stream in (LEDGER_STREAM, PAYLOAD_STREAM)
        }
        self._log = log
        self._service = service
        self._catalogue = catalogue
        self._logs = logs
        self._owns = owns
        self._is_lost = is_lost

    async def run_once(self) -> None:
        """Check the streams and perform the actions that are due.

        Raises
        ------
        LogUnavailable
            The log did not respond; the remaining actions stay due.
        """
        ledger_view = await self._retention_view(LEDGER_STREAM)
        payload_view = await self._retention_view(PAYLOAD_STREAM)
        floor = floor_action(
            ledger=self._service.ledger, payload_view=payload_view, owns=self._owns
        )
        if floor is not None:
            await self._service.append(
                PayloadFloorRaised(before_offset=floor.before_offset)
            )
        snapshot = snapshot_action(
            ledger=self._service.ledger,
            ledger_view=ledger_view,
            payload_view=payload_view,
            interval_records=SNAPSHOT_RECORDS,
            owns=self._owns,
        )
        if snapshot is not None:
            await self._perform(snapshot)
        for action in self._due_actions(payload_view):
            await self._perform_or_log(action)
        await self._abandon_lost_claims()
        if self._owns(CATALOGUE_DUTY):
            await self._catalogue.append_snapshot_if_due()

    async def _retention_view(self, stream: str) -> RetentionView:
        bounds = await self._log.bounds(stream=stream)
        aged_offset = self._ages_by_stream[stream].observe(
            end=bounds.end, now_ms=self._clock.now_ms()
        )
        return RetentionView(bounds=bounds, aged_offset=aged_offset)

    def _due_actions(self, payload_view: RetentionView) -> list[RetentionAction]:
        actions = []
        candidates = renewal_actions(
            ledger=self._service.ledger, payload_view=payload_view, owns=self._owns
        )
        for action in candidates:
            actions.append(action)
            if len(actions) == MAX_ACTIONS:
                break
        return actions

    async def _perform_or_log(self, action: RetentionAction) -> None:
        try:
            await self._perform(action)
        except (OffsetExpired, PayloadInvalid) as failure:
            # A lost payload must not prevent the renewal of the others.
            fields = LogFields(reason=failure.detail)
            self._logs.write(Event.PAYLOAD_LOST, level=LogLevel.ERROR, fields=fields)

    async def _perform(self, action: RetentionAction) -> None:
        match action:
            case WriteSnapshot():
                await self._write_snapshot()
            case RenewPayload(job_id=job_id, offsets=offsets):
                moves = await self._copy(offsets)
                self._service.writer.submit(PayloadMoved(job_id=job_id, moves=moves))
            case RenewManifest(job_id=job_id, manifest_offset=offset):
                await self._renew_manifest(job_id, offset)
            case RenewCallPayload():
                await self._renew_call_payload(action)
            case RetireJob(job_id=job_id):
                await self._retire_job(job_id)

    async def _write_snapshot(self) -> None:
        entry = await self._service.write_snapshot()
        await self._service.append(entry)
        fields = LogFields(offset=entry.covers_offset, reason=LEDGER_STREAM)
        self._logs.write(Event.SNAPSHOT_TAKEN, fields=fields)

    async def _copy(self, offsets: tuple[int, ...]) -> tuple[PayloadMove, ...]:
        moves = []
        for offset in offsets:
            new_offset = await self._service.payloads.copy(
                offset=offset, timeout_ms=APPEND_TIMEOUT_MS
            )
            moves.append(PayloadMove(offset, new_offset))
        return tuple(moves)

    async def _renew_manifest(self, job_id: str, offset: int) -> None:
        data = await self._service.payloads.read_raw(offset)
        manifest = decode_manifest(data, job_id=job_id)
        moves = await self._copy(manifest.payload_offsets())
        to_by_from = {move.from_offset: move.to_offset for move in moves}
        moved = manifest.with_moved_payloads(to_by_from)
        new_offset = await self._append_manifest(moved)
        offsets = moved.payload_offsets()
        self._service.writer.submit(
            ManifestMoved(
                job_id=job_id,
                from_offset=offset,
                to_offset=new_offset,
                oldest_offset=min(offsets, default=new_offset),
            )
        )

    async def _renew_call_payload(self, action: RenewCallPayload) -> None:
        moves = await self._copy((action.payload_offset,))
        self._service.writer.submit(
            CallPayloadMoved(
                owner=action.owner,
                key=action.key,
                from_offset=action.payload_offset,
                to_offset=moves[0].to_offset,
            )
        )

    async def _retire_job(self, job_id: str) -> None:
        job = self._service.ledger.jobs_by_id.get(job_id)
        if job is None:
            return
        offset = await self._append_manifest(manifest_of(job))
        await self._service.append(JobRetired(job_id=job_id, manifest_offset=offset))

    async def _append_manifest(self, manifest: Manifest) -> int:
        return await self._service.payloads.append(
            kind=PayloadKind.MANIFEST,
            body=msgspec.json.encode(manifest),
            timeout_ms=APPEND_TIMEOUT_MS,
            job_id=manifest.job_id,
        )

    async def _abandon_lost_claims(self) -> None:
        entries: list[ClaimsAbandoned] = []
        for job in self._service.ledger.jobs_by_id.values():
            if job.ended or job.idempotent or not self._owns(job.job_id):
                continue
            for index in job.partial_chunks():
                for claimant, bitmap in job.claimed_by_claimant(index).items():
                    if self._is_lost(claimant):
                        entries.append(
                            ClaimsAbandoned(
                                job_id=job.job_id,
                                chunk=index,
                                items=bitmap_to_ranges(bitmap),
                                claimant=claimant,
                            )
                        )
        # Waits for each entry; otherwise every run during a log outage would queue the
        # same entries again.
        for entry in entries:
            await self._service.append(entry)
