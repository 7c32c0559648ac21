"""Runs the batch items that this VM owns."""

import functools
import random

import anyio
import anyio.abc

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.customers.share_batch import BatchShares
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.configuration_age import ConfigurationAge
from foxtailbank.forward.event_stream import EventSource
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.own_slots import OwnSlots
from foxtailbank.forward.route import Route
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.stream_event import parse_events
from foxtailbank.forward.worker_client import WorkerClient, WorkerResponse
from foxtailbank.http1.failures import (
    ExchangeFailed,
    ResponseTooLarge,
    StreamNotContinued,
)
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics
from foxtailbank.submissions import item_order
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.batch_capacity import BatchCapacity
from foxtailbank.submissions.item_holds import (
    CRASHING_ITEM_PAUSE_MS,
    Hold,
    crash_pause_ms,
    find_hold,
)
from foxtailbank.submissions.item_placement import ItemPlacement
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.item_slots import ItemSlots
from foxtailbank.submissions.paced_reading import read_paced
from foxtailbank.submissions.progress_budget import ProgressBudget
from foxtailbank.submissions.result_texts import ResultTexts
from foxtailbank.submissions.run_table import RunTable
from foxtailbank.submissions.submission_routes import SubmissionRoutes
from foxtailbank.submissions.submission_table import SubmissionTable

HEAD_TIMEOUT_MS = 3_000  # a full worker may queue an item for several steps
GAP_TIMEOUT_MS = 1_500
RETRY_MS = 300
DEFECT_PAUSE_MS = 2_000  # after an unexpected error, which is likely to come again
PREEMPTION_PAUSE_MS = 300  # a burst of online requests lasts longer
FULL_RETRY_MS = 100
START_JITTER_MS = 25  # keeps VMs from taking the same free slot at once
TICK_MS = 250
EXCESS_TICK_MS = 15
# About half an item's run. Output is seldom lost, and saving more often would append
# more bytes.
SAVE_PERIOD_MS = 2_500
STATUS_CANNOT_RUN = 422
STATUS_FAILED = 500


class Runner:
    """Starts, preempts, retries and finishes items.

    Parameters
    ----------
    owner_id : str
        This process, as ``vm/incarnation``.
    table : SubmissionTable
        Holds the ledger.
    follower : LogFollower
        Keeps the ledger up to date.
    appends : AppendQueue
        Queue for the submission log.
    texts : ResultTexts
        Takes outputs that are kept apart from that log.
    budget : ProgressBudget
        Whether progress may be saved.
    client : WorkerClient
        Connections to workers.
    fleet : FleetState
        Workers and their loads.
    capacity : BatchCapacity
        Assigns worker slots to items.
    own_slots : OwnSlots
        Where online requests of this VM find slots of its items.
    routes : RouteTable
        Current routes.
    configuration_age : ConfigurationAge
        How old these may be.
    max_output_bytes : int
        Bound on the output of an item, in bytes.
    clock : Clock
        Source of time.
    logs : Logs
        Receives log lines.
    metrics : Metrics
        Receives counts.
    rng : random.Random
        Draws start jitter and the service of a route.

    Attributes
    ----------
    capacity : BatchCapacity
        The parameter of the same name.
    runs : RunTable
        The items that this VM runs.
    """

    def __init__(
        self,
        *,
        owner_id: str,
        table: SubmissionTable,
        follower: LogFollower,
        appends: AppendQueue,
        texts: ResultTexts,
        budget: ProgressBudget,
        client: WorkerClient,
        fleet: FleetState,
        capacity: BatchCapacity,
        own_slots: OwnSlots,
        routes: RouteTable,
        configuration_age: ConfigurationAge,
        max_output_bytes: int,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._appends = appends
        self._texts = texts
        self._budget = budget
        self._client = client
        self._fleet = fleet
        self.capacity = capacity
        self._placement = ItemPlacement(fleet=fleet, capacity=capacity, rng=rng)
        self._routes = SubmissionRoutes(
            routes=routes, age=configuration_age, clock=clock
        )
        self._max_output_bytes = max_output_bytes
        self._clock = clock
        self._rng = rng
        self._recorder = ItemRecorder(
            owner_id=owner_id,
            appends=appends,
            texts=texts,
            clock=clock,
            logs=logs,
            metrics=metrics,
        )
        self.runs = RunTable(
            owner_id=owner_id,
            table=table,
            routes=self._routes,
            client=client,
            clock=clock,
        )
        routes.add_listener(self.runs.update_due_times)
        self._no_slot_since_ms_by_route: dict[str, int] = {}
        self._slots = ItemSlots(
            runs=self.runs, fleet=fleet, capacity=capacity, recorder=self._recorder
        )
        own_slots.set_giver(self._slots)
        self._wake = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self.stopping = False
        table.on_change(self._on_table_change)
        fleet.add_load_listener(self._on_load_change)
        fleet.add_peer_load_listener(self._on_load_change)

    async def run(self) -> None:
        """Run items until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                tick_ms = EXCESS_TICK_MS if self.capacity.has_excess else TICK_MS
                with anyio.move_on_after(tick_ms / MS_PER_S):
                    await self._wake.wait()
                self._wake = anyio.Event()
                self._observe_online_load()
                self._slots.preempt_excess(self._clock.now_ms())
                await anyio.sleep(self._rng.uniform(0, START_JITTER_MS) / MS_PER_S)
                self._start_waiting()

    def stop_items(self) -> None:
        """Save and stop all items for good, so that another VM can resume them."""
        self.stopping = True
        for run in self.runs.all():
            self._recorder.save_progress(run)
            run.stop()

    @property
    def running_count(self) -> int:
        """Number of items running on workers."""
        return sum(1 for run in self.runs.all() if run.is_running)

    @property
    def hold(self) -> Hold | None:
        """Why no item starts now; None if items start."""
        return find_hold(
            is_stopping=self.stopping,
            appends=self._appends,
            texts=self._texts,
            follower=self._follower,
            routes=self._routes,
        )

    def no_slot_ms(self, route: str, now_ms: int) -> int:
        """Return how long no slot has been free for items of a route; 0 if one is."""
        return now_ms - self._no_slot_since_ms_by_route.get(route, now_ms)

    def _observe_online_load(self) -> None:
        self.capacity.observe_online_load(
            self._fleet.workers.usable_by_service(), self._clock.now_ms()
        )

    def _on_table_change(self) -> None:
        self.runs.sync()
        self._wake.set()

    def _on_load_change(self) -> None:
        if self.runs:
            self._wake.set()

    def _start_waiting(self) -> None:
        if self.hold is not None:
            return
        now_ms = self._clock.now_ms()
        waiting = self.runs.waiting(now_ms)
        no_slot_since_ms_by_route: dict[str, int] = {}
        shares = self._batch_shares() if waiting else BatchShares()
        for run in item_order.start_order(waiting, shares=shares, now_ms=now_ms):
            name = run.submission.route
            if name in no_slot_since_ms_by_route:
                continue
            if not self._try_start(run, now_ms):
                since_ms = self._no_slot_since_ms_by_route.get(name, now_ms)
                no_slot_since_ms_by_route[name] = since_ms
        self._no_slot_since_ms_by_route = no_slot_since_ms_by_route

    def _try_start(self, run: ItemRun, now_ms: int) -> bool:
        """Try to start an item; return false if no worker has a free slot.

        The routes are in force; see `hold`.
        """
        if self._give_up(run):
            return True
        route = self._routes.find(run.submission)
        if route is None:
            run.not_before_ms = now_ms + RETRY_MS
            return True
        if pause_ms := crash_pause_ms(self._fleet.crashes, run.prompt_parts):
            run.not_before_ms = now_ms + pause_ms
            return True
        worker = self._choose_worker(run, route, now_ms)
        if worker is None and self._placement.is_blocked_by_version(run):
            run.not_before_ms = now_ms + FULL_RETRY_MS
            return True
        if worker is None:
            return False
        run.cancel_scope = anyio.CancelScope()
        run.worker_id = worker.worker_id
        run.send_count += 1
        self._fleet.start_item(worker.worker_id, run.customer_key)
        assert self._group is not None
        self._group.start_soon(self._run, run, worker)
        return True

    def _give_up(self, run: ItemRun) -> bool:
        """End an item that is not owed any more; return whether it was ended.

        See `SubmissionRoutes.check_owed`.
        """
        reason = self._routes.check_owed(run)
        if reason is None:
            return False
        self._recorder.record_end(run, completed=False, reason=reason.value)
        return True

    def _batch_shares(self) -> BatchShares:
        return self._fleet.shares.batch_shares(self.runs.customer_names)

    def _choose_worker(self, run: ItemRun, route: Route, now_ms: int) -> Worker | None:
        name = run.submission.route
        waited_ms = self.no_slot_ms(name, now_ms)
        worker = self._placement.choose(run, route, waited_ms=waited_ms, now_ms=now_ms)
        if worker is None:
            return None
        self._no_slot_since_ms_by_route.pop(name, None)
        if worker.worker_id in run.avoided_worker_ids:
            # All free workers have been tried, so each gets another try in turn.
            run.avoided_worker_ids.clear()
        return worker

    async def _run(self, run: ItemRun, worker: Worker) -> None:
        scope = run.cancel_scope
        assert scope is not None
        self._recorder.record_start(run, worker)
        self._fleet.notify_load()
        try:
            with scope:
                await self._exchange(run, worker)
        except Exception as error:
            run.not_before_ms = self._clock.now_ms() + DEFECT_PAUSE_MS
            self._recorder.record_defect(run, error)
        finally:
            run.cancel_scope = None
            run.times.on_stop(self._clock.now_ms())
            run.discard_unfinished()
            self._fleet.remove_in_flight(
                worker.worker_id, LoadKind.BATCH, run.customer_key
            )
            self._wake.set()
        if scope.cancelled_caught:
            run.not_before_ms = self._clock.now_ms() + PREEMPTION_PAUSE_MS

    async def _exchange(self, run: ItemRun, worker: Worker) -> None:
        try:
            async with self._client.exchange(
                worker,
                run.make_call(self._clock.now_ms()),
                remaining_ms=0,
                head_timeout_ms=HEAD_TIMEOUT_MS,
                resume_after=run.event_buffer.last_event_id,
            ) as answer:
                await self._handle_answer(run, worker, answer)
        except ExchangeFailed as failure:
            self._on_failure(run, worker, failure)

    async def _handle_answer(
        self, run: ItemRun, worker: Worker, answer: WorkerResponse
    ) -> None:
        now_ms = self._clock.now_ms()
        self._fleet.on_answer(worker, answer)
        if answer.not_run:
            self._fleet.on_not_run(worker, answer)
            run.avoided_worker_ids.add(worker.worker_id)
            run.not_before_ms = now_ms + FULL_RETRY_MS
            load = self._fleet.loads.total(worker.worker_id)
            self._recorder.record_refusal(run, answer, load)
            return
        if answer.is_success:
            await self._read_output(run, worker, answer)
            self._fleet.health.on_success(worker.worker_id)
            self._fleet.crashes.on_parts_completed(run.prompt_parts)
            self._recorder.record_end(run, completed=True, reason="completed")
            return
        if answer.status == STATUS_CANNOT_RUN:
            self._recorder.record_end(run, completed=False, reason="cannot_run")
            return
        run.avoided_worker_ids.add(worker.worker_id)
        run.not_before_ms = now_ms + RETRY_MS
        if answer.status == STATUS_FAILED:
            self._on_attempt_failed(run)

    async def _read_output(
        self, run: ItemRun, worker: Worker, answer: WorkerResponse
    ) -> None:
        source = EventSource(
            response=answer, buffer=run.event_buffer, clock=self._clock
        )
        await source.check_head(
            is_same_process=functools.partial(self._fleet.is_current, worker)
        )
        origin = run.origin or await self._fleet.new_origin(worker)
        async for events in read_paced(source, gap_ms=GAP_TIMEOUT_MS):
            if run.origin is None:
                run.origin = origin
            run.texts.extend(event.data for event in parse_events(events))
            if run.output_bytes > self._max_output_bytes:
                run.discard_output()
                raise ResponseTooLarge(
                    detail=f"output over {self._max_output_bytes} bytes"
                )
            is_due = self._clock.now_ms() - run.saved_ms > SAVE_PERIOD_MS
            has_room = self._budget.allows_saving and not self._follower.has_backlog
            if is_due and has_room:  # all VMs read what is saved
                self._recorder.save_progress(run)

    def _on_attempt_failed(self, run: ItemRun) -> None:
        self._recorder.record_attempt_failure(run)
        # The ledger may not hold this run's latest failures yet.
        known_count = run.submission.failures_by_id.get(run.item.item_id, 0)
        run.failure_count = max(run.failure_count, known_count) + 1
        if self._routes.are_in_force:
            self._give_up(run)

    def _on_failure(
        self, run: ItemRun, worker: Worker, failure: ExchangeFailed
    ) -> None:
        now_ms = self._clock.now_ms()
        run.avoided_worker_ids.add(worker.worker_id)
        is_suspect = self._fleet.crashes.crash_age_ms(run.prompt_parts) is not None
        pause_ms = CRASHING_ITEM_PAUSE_MS if is_suspect else RETRY_MS
        run.not_before_ms = now_ms + pause_ms
        self._fleet.on_exchange_failure(worker, failure)
        self._recorder.record_exchange_failure(run, failure)
        if isinstance(failure, StreamNotContinued):
            run.discard_output()
