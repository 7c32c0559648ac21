"""Administration API for the state of the fleet."""

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailbank import peer_messages as pm
from foxtailbank.admin_guard import AdminGuard
from foxtailbank.burn_merge import merge_burn
from foxtailbank.burn_recorder import BurnRecorder, VmEvents
from foxtailbank.catalogue import Catalogue
from foxtailbank.clock import Clock
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.exceptions import FoxtailbankError, NotFound
from foxtailbank.job_state import JobState
from foxtailbank.job_view import build_job_view
from foxtailbank.json_response import json_response
from foxtailbank.ledger_service import LedgerService
from foxtailbank.peering import Peering
from foxtailbank.quarantine import Quarantine
from foxtailbank.quarantine_exchange import QuarantineExchange
from foxtailbank.retired_job import RetiredJob

BURN_REPORT = "burn"
PEER_TIMEOUT_MS = 2_000


class FleetApi:
    """Administration handlers for VMs, endpoints, jobs, quarantine and reports.

    Parameters
    ----------
    clock : Clock
        Source of time.
    guard : AdminGuard
        Checks the administration key.
    catalogue : Catalogue
        Catalogue entries applied on this VM.
    directory : EndpointDirectory
        Known endpoints.
    service : LedgerService
        Batch jobs.
    quarantine : Quarantine
        Requests that are suspected of crashing endpoints.
    exchange : QuarantineExchange
        Sends cleared requests to other VMs.
    peering : Peering
        The other entry VMs.
    burn : BurnRecorder
        This VM's service-level events.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        guard: AdminGuard,
        catalogue: Catalogue,
        directory: EndpointDirectory,
        service: LedgerService,
        quarantine: Quarantine,
        exchange: QuarantineExchange,
        peering: Peering,
        burn: BurnRecorder,
    ) -> None:
        self._clock = clock
        self._guard = guard
        self._catalogue = catalogue
        self._directory = directory
        self._service = service
        self._quarantine = quarantine
        self._exchange = exchange
        self._peering = peering
        self._burn = burn

    def routes(self) -> list[Route]:
        """Return the routes of this API."""
        return [
            self._guard.route("/admin/vms", self._list_vms),
            self._guard.route("/admin/endpoints", self._list_endpoints),
            self._guard.route("/admin/jobs", self._list_jobs),
            self._guard.route("/admin/quarantine", self._list_quarantined),
            self._guard.route(
                "/admin/quarantine/{fingerprint}",
                self._clear_quarantined,
                method="DELETE",
            ),
            self._guard.route("/admin/report/burn", self._report_burn),
        ]

    async def answer_report(self, peer_id: str, request: pm.Report) -> pm.Report:
        """Return this VM's part of a report, for the VM that merges it.

        Raises
        ------
        NotFound
            The report name is unknown.
        """
        if request.name != BURN_REPORT:
            raise NotFound(detail=f"no report {request.name}")
        events = self._burn.report(now_ms=self._clock.wall_ms())
        return pm.Report(name=BURN_REPORT, content=msgspec.json.encode(events))

    async def _list_vms(self, request: Request, body: bytes) -> Response:
        live = {member.vm_id for member in self._peering.live_vms()}
        listed = self._directory.entry_vms_by_id
        known = {
            member.vm_id: member for member in self._peering.membership.view.members()
        }
        rows = []
        for vm_id in sorted({*known, *listed}):
            member = known.get(vm_id)
            vm = listed.get(vm_id)
            rows.append(
                {
                    "vm": vm_id,
                    "zone": member.zone if member else vm.zone if vm else "",
                    "address": member.address if member else vm.address if vm else "",
                    "live": vm_id in live,
                    "listed": vm is not None,
                    "catalogue_offset": self._offset_of(vm_id),
                }
            )
        return json_response({"vms": rows})

    def _offset_of(self, vm_id: str) -> int:
        own = self._peering.membership.own.vm_id
        if vm_id == own:
            return self._catalogue.applied_offset
        return self._peering.membership.view.catalogue_offset(vm_id)

    async def _list_endpoints(self, request: Request, body: bytes) -> Response:
        now_ms = self._clock.now_ms()
        endpoints = [
            backend.view(now_ms)
            for _, backend in sorted(self._directory.backends_by_id.items())
        ]
        return json_response({"endpoints": endpoints})

    async def _list_jobs(self, request: Request, body: bytes) -> Response:
        ledger = self._service.ledger
        now_ms = self._clock.wall_ms()
        jobs: list[JobState | RetiredJob] = [
            *ledger.jobs_by_id.values(),
            *ledger.retired_by_id.values(),
        ]
        rows = [
            {
                "owner": job.owner,
                **msgspec.to_builtins(build_job_view(job, now_ms=now_ms)),
            }
            for job in jobs
        ]
        return json_response({"jobs": rows})

    async def _list_quarantined(self, request: Request, body: bytes) -> Response:
        now_ms = self._clock.wall_ms()
        rows = [
            {
                "fingerprint": mark.fingerprint.digest,
                "owner": mark.fingerprint.owner,
                "isolation": self._quarantine.verdict(
                    mark.fingerprint, now_ms
                ).isolation,
                "endpoint": mark.death_id,
                "cleared": mark.cleared,
                "expires_ms": mark.expires_wall_ms,
            }
            for mark in self._quarantine.reports(now_ms)
        ]
        return json_response({"quarantined": rows})

    async def _clear_quarantined(self, request: Request, body: bytes) -> Response:
        digest = request.path_params["fingerprint"]
        now_ms = self._clock.wall_ms()
        fingerprints = {
            mark.fingerprint
            for mark in self._quarantine.reports(now_ms)
            if mark.fingerprint.digest == digest
        }
        if not fingerprints:
            raise NotFound(detail=f"no fingerprint `{digest}`")
        for fingerprint in fingerprints:
            self._exchange.broadcast(self._quarantine.on_complete(fingerprint, now_ms))
        return json_response({"fingerprint": digest, "cleared": True})

    async def _report_burn(self, request: Request, body: bytes) -> Response:
        reports = [self._burn.report(now_ms=self._clock.wall_ms())]

        async def ask(vm_id: str) -> None:
            try:
                answer = await self._peering.client.request(
                    vm_id,
                    pm.Report(name=BURN_REPORT, content=b""),
                    timeout_ms=PEER_TIMEOUT_MS,
                )
            except FoxtailbankError:
                return
            if isinstance(answer, pm.Report):
                reports.append(msgspec.json.decode(answer.content, type=VmEvents))

        own = self._peering.membership.own.vm_id
        known = {member.vm_id for member in self._peering.membership.view.members()}
        expected = {own, *known, *self._directory.entry_vms_by_id}
        async with anyio.create_task_group() as tasks:
            for vm_id in expected - {own}:
                tasks.start_soon(ask, vm_id)
        merged = merge_burn(
            reports,
            entries_by_name=self._catalogue.entries_by_name,
            live_vms=expected,
            now_ms=self._clock.wall_ms(),
        )
        return json_response(merged)
