"""Stops items of this VM for online requests, of its own or of any VM."""

import itertools
import typing as t

from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.own_slots import SlotGiver
from foxtailbank.submissions import item_order
from foxtailbank.submissions.batch_capacity import BatchCapacity
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.run_table import RunTable


class ItemSlots(SlotGiver):
    """Gives the slots of running items, in the order in which they are preempted.

    Parameters
    ----------
    runs : RunTable
        The items that this VM runs.
    fleet : FleetState
        Workers and their loads.
    capacity : BatchCapacity
        Decides at which worker an item can make way.
    recorder : ItemRecorder
        Notified of each item that makes way.
    """

    def __init__(
        self,
        *,
        runs: RunTable,
        fleet: FleetState,
        capacity: BatchCapacity,
        recorder: ItemRecorder,
    ) -> None:
        self._runs = runs
        self._fleet = fleet
        self._capacity = capacity
        self._recorder = recorder

    def preempt_excess(self, now_ms: int) -> None:
        """Stop the items that must make way for the load that is known of workers."""
        runs_by_worker = item_order.running_by_worker(self._runs.all())
        for worker_id, runs in runs_by_worker.items():
            worker = self._fleet.workers.get(worker_id)
            if worker is None:
                continue
            stopping_count = self._fleet.loads.own(worker_id).batch - len(runs)
            count = self._capacity.items_to_preempt(worker, now_ms) - stopping_count
            for run in self._in_order(runs)[: max(0, count)]:
                self._stop(run, worker)

    def give(
        self,
        service: str,
        *,
        excluded: set[str],
        now_ms: int,
        origin: StreamOrigin | None = None,
    ) -> Worker | None:
        """Stop an item and return its worker, or None without one."""
        runs_by_worker = item_order.running_by_worker(self._runs.all())
        if not runs_by_worker:
            return None
        runs = self._in_order(itertools.chain.from_iterable(runs_by_worker.values()))
        usable = {w.worker_id: w for w in self._fleet.workers.usable(service)}
        workers = [
            usable[run.worker_id]
            for run in runs
            if run.worker_id in usable and run.worker_id not in excluded
        ]
        if origin is not None:
            workers = [w for w in workers if origin.may_continue_at(w)]
        running_counts = {key: len(runs) for key, runs in runs_by_worker.items()}
        worker = self._capacity.choose_swap(
            workers, running_counts=running_counts, now_ms=now_ms
        )
        if worker is None:
            return None
        run = next(run for run in runs if run.worker_id == worker.worker_id)
        self._stop(run, worker)
        return worker

    def _in_order(self, runs: t.Iterable[ItemRun]) -> list[ItemRun]:
        shares = self._fleet.shares.batch_shares(self._runs.customer_names)
        return item_order.preemption_order(runs, shares=shares)

    def _stop(self, run: ItemRun, worker: Worker) -> None:
        load = self._fleet.loads.total(worker.worker_id)
        self._recorder.record_preemption(run, worker, load)
        run.stop()
