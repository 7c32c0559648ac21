"""Chooses the worker that runs a batch item or goes on with it.

Meant for a release of the workers' software while items run: the output of an item
comes from one software version, so an item that was interrupted goes on at the version
that began it or starts again. It starts again at once if no worker of that version is
left, and after a while if they are all full.
"""

import random

from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route import Route
from foxtailbank.submissions.batch_capacity import BatchCapacity
from foxtailbank.submissions.item_run import ItemRun

MAX_VERSION_WAIT_MS = 2_000  # about as long as it takes to write the output again


class ItemPlacement:
    """Places items on workers.

    Parameters
    ----------
    fleet : FleetState
        Workers and their loads.
    capacity : BatchCapacity
        Assigns worker slots to items.
    rng : random.Random
        Draws the service of a route.
    """

    def __init__(
        self, *, fleet: FleetState, capacity: BatchCapacity, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._capacity = capacity
        self._rng = rng

    def choose(
        self, run: ItemRun, route: Route, *, waited_ms: int, now_ms: int
    ) -> Worker | None:
        """Return a worker with a free slot, or None.

        The output of the item is discarded if it is to be started again.

        Parameters
        ----------
        run : ItemRun
            The item.
        route : Route
            Its route.
        waited_ms : int
            How long this VM has found no free slot for items of the route.
        now_ms : int
            Current time.
        """
        service = self._choose_service(run, route)
        workers = self._fleet.workers.usable(service)
        if run.origin is not None and self._must_start_again(run, workers, now_ms):
            run.discard_output()
        worker = self._capacity.choose_worker(
            workers,
            avoid=run.avoided_worker_ids,
            waited_ms=waited_ms,
            now_ms=now_ms,
            origin=run.origin,
        )
        if worker is not None:
            run.blocked_since_ms = None
        elif self.is_blocked_by_version(run):
            run.blocked_since_ms = run.blocked_since_ms or now_ms
        return worker

    def is_blocked_by_version(self, run: ItemRun) -> bool:
        """Return whether a worker could run the item if it started again."""
        if run.origin is None:
            return False
        workers = self._fleet.workers.usable(run.origin.service)
        return not all(run.origin.may_continue_at(worker) for worker in workers)

    def _choose_service(self, run: ItemRun, route: Route) -> str:
        if run.origin is not None and run.origin.service in route.services:
            return run.origin.service
        return route.choose_service(self._rng)

    def _must_start_again(
        self, run: ItemRun, workers: tuple[Worker, ...], now_ms: int
    ) -> bool:
        assert run.origin is not None
        blocked_since_ms = run.blocked_since_ms or now_ms
        if now_ms - blocked_since_ms > MAX_VERSION_WAIT_MS:
            return True
        return not any(
            run.origin.may_continue_at(worker)
            and self._fleet.view.is_healthy(worker, now_ms)
            for worker in workers
        )
