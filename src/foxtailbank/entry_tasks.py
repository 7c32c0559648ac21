"""Periodic tasks of an entry VM."""

from foxtailbank.endpoint_watcher import EndpointWatcher
from foxtailbank.fleet_refresher import FleetRefresher
from foxtailbank.quarantine_exchange import QuarantineExchange
from foxtailbank.retention_task import PERIOD_MS as RETENTION_PERIOD_MS
from foxtailbank.retention_task import RetentionTask
from foxtailbank.settings_sections import TimingSection
from foxtailbank.state_change_logger import StateChangeLogger
from foxtailbank.suspect_gate import SuspectGate
from foxtailbank.tasks import PeriodicTask

PLACEMENT_PERIOD_MS = 1_000
SUSPECT_GATE_PERIOD_MS = 50
STATE_PERIOD_MS = 500
QUARANTINE_PERIOD_MS = 5_000


def entry_tasks(
    *,
    timing: TimingSection,
    endpoint_watcher: EndpointWatcher,
    refresher: FleetRefresher,
    state_logger: StateChangeLogger,
    suspect_gate: SuspectGate,
    retention: RetentionTask,
    quarantine_exchange: QuarantineExchange,
) -> tuple[PeriodicTask, ...]:
    """Return the periodic tasks in the order in which they start.

    Parameters
    ----------
    timing : TimingSection
        Periods that the settings determine.
    endpoint_watcher : EndpointWatcher
        Reads the VM list and the endpoints' load.
    refresher : FleetRefresher
        Updates the placement.
    state_logger : StateChangeLogger
        Logs changes of the VM's states.
    suspect_gate : SuspectGate
        Acknowledges reservations for suspect requests.
    retention : RetentionTask
        Renews records before the log deletes them.
    quarantine_exchange : QuarantineExchange
        Sends the quarantined fingerprints to the other VMs.
    """

    async def acknowledge_suspects() -> None:
        suspect_gate.acknowledge()

    async def broadcast_quarantines() -> None:
        quarantine_exchange.broadcast_all()

    return (
        PeriodicTask(
            name="vm_list",
            period_ms=timing.vm_list_period_ms,
            work=endpoint_watcher.refresh_vms,
        ),
        PeriodicTask(
            name="load",
            period_ms=timing.load_period_ms,
            work=endpoint_watcher.poll_endpoints,
        ),
        PeriodicTask(
            name="placement", period_ms=PLACEMENT_PERIOD_MS, work=refresher.refresh
        ),
        PeriodicTask(name="state", period_ms=STATE_PERIOD_MS, work=state_logger.check),
        PeriodicTask(
            name="suspects",
            period_ms=SUSPECT_GATE_PERIOD_MS,
            work=acknowledge_suspects,
        ),
        PeriodicTask(
            name="retention", period_ms=RETENTION_PERIOD_MS, work=retention.run_once
        ),
        PeriodicTask(
            name="quarantine",
            period_ms=QUARANTINE_PERIOD_MS,
            work=broadcast_quarantines,
        ),
    )
