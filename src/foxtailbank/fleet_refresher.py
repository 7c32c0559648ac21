"""Applies the known state of the fleet to the components that depend on it."""

from foxtailbank import peer_messages as pm
from foxtailbank.batch_runner import BatchRunner
from foxtailbank.catalogue_service import CatalogueService
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.fleet_placement import FleetPlacement
from foxtailbank.heartbeat_writer import OwnState
from foxtailbank.ledger_service import LedgerService
from foxtailbank.peering import Peering

# For the whole fleet; each live VM gets an equal share.
LEDGER_APPENDS_PER_S = 200


class FleetRefresher:
    """Keeps placement, limits, append rate and heartbeats up to date.

    Parameters
    ----------
    clock : Clock
        Source of time.
    directory : EndpointDirectory
        Known endpoints and listed entry VMs.
    placement : FleetPlacement
        Assigns endpoints to the VMs that run their batch work.
    peering : Peering
        Live entry VMs.
    catalogue : CatalogueService
        Divides limits among the known VMs.
    ledger : LedgerService
        Spaces its appends by the number of live VMs.
    runner : BatchRunner
        Receives changed placements.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: EndpointDirectory,
        placement: FleetPlacement,
        peering: Peering,
        catalogue: CatalogueService,
        ledger: LedgerService,
        runner: BatchRunner,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._peering = peering
        self._catalogue = catalogue
        self._ledger = ledger
        self._runner = runner

    async def refresh(self) -> None:
        """Update all dependent components once."""
        if self._placement.refresh(self._peering.live_vms(), self._clock.now_ms()):
            self._runner.update_placements(
                self._placement.placements_by_pool, self._placement.owned_ids
            )
        listed = self._directory.entry_vms_by_id.values()
        known = self._peering.membership.view.members()
        self._catalogue.set_vms(
            {vm.vm_id: vm.zone for vm in listed} | {m.vm_id: m.zone for m in known}
        )
        self._ledger.writer.min_interval_ms = (
            MS_PER_S * len(self._peering.live_vms()) // LEDGER_APPENDS_PER_S
        )
        state = OwnState(
            loads=self._loads(),
            catalogue_offset=self._catalogue.catalogue.applied_offset,
            ledger_offset=self._ledger.ledger.next_offset - 1,
        )
        self._peering.set_own_state(state)

    def _loads(self) -> tuple[pm.PoolLoad, ...]:
        return tuple(
            pm.PoolLoad(
                pool=pool,
                in_flight=sum(
                    b.online_in_flight for b in self._directory.backends_in_pool(pool)
                ),
                capacity=len(self._directory.backends_in_pool(pool)),
            )
            for pool in self._directory.pool_names()
        )
