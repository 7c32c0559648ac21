"""Runs the batch items that this VM owns."""

import random

import anyio
import anyio.abc

from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.fleet.crash_marks import fingerprint_of
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.call import Call
from foxtailbank.forward.event_stream import parse_events
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route import Route
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.worker_client import WorkerAnswer, WorkerClient
from foxtailbank.http1.failures import (
    ConnectionBroken,
    ExchangeFailed,
)
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.batch_room import BatchRoom
from foxtailbank.submissions.book import SubmissionBook
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.paced_reading import parts_of
from foxtailbank.submissions.records import Item
from foxtailbank.submissions.submission import Submission

HEAD_TIMEOUT_MS = 3_000  # a full worker may queue an item for some steps
GAP_TIMEOUT_MS = 1_500
RETRY_MS = 300
YIELD_PAUSE_MS = 300  # an online wave lasts longer
FULL_RETRY_MS = 100
SPREAD_MS = 25  # VMs that see the same free place do not take it together
TICK_MS = 250
EXCESS_TICK_MS = 15
SAVE_PERIOD_MS = 2_500  # about half a run; more is lost seldom, less costs bytes
GIVE_UP_MARGIN_MS = 5_000  # clocks of VMs differ
ROUTE_GONE_MS = 3_000  # a route that is missing so long is not just late
STATUS_CANNOT_RUN = 422
STATUS_FAILED = 500


class Runner:
    """Starts, yields, repeats and finishes items.

    Parameters
    ----------
    me : str
        This process, as ``vm/incarnation``.
    book : SubmissionBook
        The ledger.
    appends : AppendQueue
        Takes results.
    client : WorkerClient
        Connections to workers.
    fleet : FleetState
        Workers and loads.
    room : BatchRoom
        Decides about places.
    routes : RouteTable
        Routes in force.
    clock, logs, metrics, rng
        As elsewhere.
    """

    def __init__(
        self,
        *,
        me: str,
        book: SubmissionBook,
        appends: AppendQueue,
        client: WorkerClient,
        fleet: FleetState,
        room: BatchRoom,
        routes: RouteTable,
        clock: Clock,
        logs: Logs,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._book = book
        self._appends = appends
        self._client = client
        self._fleet = fleet
        self._room = room
        self._routes = routes
        self._clock = clock
        self._rng = rng
        self._recorder = ItemRecorder(
            me=me, appends=appends, clock=clock, logs=logs, metrics=metrics
        )
        self._runs: dict[tuple[str, str], ItemRun] = {}
        self._route_missing_ms: dict[str, int] = {}
        self._no_place_since_ms: int | None = None
        self._wake = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self.stopping = False
        book.on_change(self._on_book_change)
        fleet.on_load_change(self._on_load_change)
        fleet.on_peer_load(self._on_load_change)

    async def run(self) -> None:
        """Run items until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                tick_ms = EXCESS_TICK_MS if self._room.has_excess else TICK_MS
                with anyio.move_on_after(tick_ms / MS_PER_S):
                    await self._wake.wait()
                self._wake = anyio.Event()
                self._yield_places()
                await anyio.sleep(self._rng.uniform(0, SPREAD_MS) / MS_PER_S)
                self._pump()

    def stop_items(self) -> None:
        """Stop all items for good, so that another VM can go on."""
        self.stopping = True
        for run in self._runs.values():
            self._recorder.saved(run)
            run.stop()

    @property
    def running_count(self) -> int:
        """Items that workers have now."""
        return sum(1 for run in self._runs.values() if run.is_running)

    def _on_book_change(self) -> None:
        self._adopt()
        self._wake.set()

    def _on_load_change(self) -> None:
        if self._runs:
            self._wake.set()

    def _adopt(self) -> None:
        """Bring the runs in line with the ledger."""
        wanted: set[tuple[str, str]] = set()
        for submission in self._book.ledger.all():
            if submission.owner != self._me or submission.ended:
                continue
            for item in submission.waiting_items():
                key = (submission.submission_id, item.item_id)
                wanted.add(key)
                if key not in self._runs:
                    self._runs[key] = self._new_run(submission, item)
                else:
                    self._runs[key].submission = submission
        for key in self._runs.keys() - wanted:
            self._runs.pop(key).stop()

    def _new_run(self, submission: Submission, item: Item) -> ItemRun:
        run = ItemRun(
            submission=submission,
            item=item,
            due_ms=self._due_ms(submission.host, submission),
            saved_ms=self._clock.now_ms(),
        )
        progress = submission.progress_by_id.get(item.item_id)
        if progress is not None:
            run.resume_from(progress)
        return run

    def _due_ms(self, host: str, submission: Submission) -> int:
        route = self._routes.find(host, submission.target)
        span_ms = route.run_deadline_ms if route is not None else 0
        age_ms = self._clock.wall_ms() - submission.arrived_wall_ms
        return self._clock.now_ms() - age_ms + span_ms

    def _pump(self) -> None:
        if self.stopping or not self._appends.has_room:
            return
        now_ms = self._clock.now_ms()
        waiting = [
            run
            for run in self._runs.values()
            if not run.is_running and not run.is_done and run.not_before_ms <= now_ms
        ]
        if not waiting:
            self._no_place_since_ms = None
            return
        # Items that can't be in time any more come after those that can.
        waiting.sort(key=lambda run: (run.due_ms < now_ms, run.due_ms))
        for run in waiting:
            if not self._start(run, now_ms):
                break

    def _start(self, run: ItemRun, now_ms: int) -> bool:
        """Start an item if there is a place; false if none is free."""
        route = self._routes.find(run.submission.host, run.item.target)
        if route is None:
            self._on_route_missing(run, now_ms)
            return True
        self._route_missing_ms.pop(run.submission.submission_id, None)
        if self._given_up(run, route):
            self._recorder.listed(run, completed=False, reason="retention")
            return True
        fingerprint = self._fingerprint(run)
        if self._fleet.marks.refused(fingerprint):
            run.not_before_ms = now_ms + ROUTE_GONE_MS
            return True
        worker = self._choose(run, route, now_ms)
        if worker is None:
            return False
        run.scope = anyio.CancelScope()
        run.worker_id = worker.worker_id
        run.tries += 1
        self._fleet.loads.start(worker.worker_id, LoadKind.BATCH)
        assert self._group is not None
        self._group.start_soon(self._run, run, route, worker, fingerprint)
        return True

    def _choose(self, run: ItemRun, route: Route, now_ms: int) -> Worker | None:
        waited_ms = 0
        if self._no_place_since_ms is not None:
            waited_ms = now_ms - self._no_place_since_ms
        worker = self._room.choose(
            self._fleet.workers.usable(route.choose_service(self._rng)),
            avoid=run.failed_on,
            waited_ms=waited_ms,
            now_ms=now_ms,
        )
        if worker is not None:
            self._no_place_since_ms = None
        elif self._no_place_since_ms is None:
            self._no_place_since_ms = now_ms
        return worker

    async def _run(
        self, run: ItemRun, route: Route, worker: Worker, fingerprint: int
    ) -> None:
        scope = run.scope
        assert scope is not None
        self._recorder.started(run)
        self._fleet.notify_load()
        try:
            with scope:
                await self._exchange(run, route, worker, fingerprint)
        finally:
            run.scope = None
            run.cutter.drop_rest()
            self._fleet.end(worker.worker_id, LoadKind.BATCH)
            self._wake.set()
        if scope.cancelled_caught:
            run.not_before_ms = self._clock.now_ms() + YIELD_PAUSE_MS

    async def _exchange(
        self, run: ItemRun, route: Route, worker: Worker, fingerprint: int
    ) -> None:
        call = Call(
            request_id=run.item.item_id,
            method="POST",
            target=run.item.target,
            host=run.submission.host,
            headers=run.item.headers,
            body=run.item.body,
            arrived_ms=self._clock.now_ms(),
        )
        try:
            async with self._client.exchange(
                worker,
                call,
                left_ms=0,
                head_timeout_ms=HEAD_TIMEOUT_MS,
                resume_after=run.cutter.last_id,
            ) as answer:
                await self._take(run, route, worker, answer)
        except ExchangeFailed as failure:
            self._on_failure(run, worker, fingerprint, failure)

    async def _take(
        self, run: ItemRun, route: Route, worker: Worker, answer: WorkerAnswer
    ) -> None:
        now_ms = self._clock.now_ms()
        if answer.not_run:
            self._fleet.on_not_run(worker, answer)
            run.not_before_ms = now_ms + FULL_RETRY_MS
            load = self._fleet.loads.total(worker.worker_id)
            self._recorder.worker_refused(run, answer, load)
            return
        if answer.is_success:
            await self._collect(run, answer)
            self._fleet.health.on_success(worker.worker_id)
            self._recorder.listed(run, completed=True, reason="completed")
            return
        if answer.status == STATUS_CANNOT_RUN:
            self._recorder.listed(run, completed=False, reason="cannot_run")
            return
        run.failed_on.add(worker.worker_id)
        run.not_before_ms = now_ms + RETRY_MS
        if answer.status == STATUS_FAILED:
            self._on_attempt_failed(run, route)

    async def _collect(self, run: ItemRun, answer: WorkerAnswer) -> None:
        async for part in parts_of(answer, gap_ms=GAP_TIMEOUT_MS):
            whole = run.cutter.feed(part)
            if whole:
                run.texts.extend(event.data for event in parse_events(whole))
                if self._clock.now_ms() - run.saved_ms > SAVE_PERIOD_MS:
                    self._recorder.saved(run)
        if not run.cutter.is_clean:
            raise ConnectionBroken(detail="ended within an event")

    def _on_attempt_failed(self, run: ItemRun, route: Route) -> None:
        self._recorder.attempt_failed(run, route.name)
        failures = run.submission.failures_by_id.get(run.item.item_id, 0) + 1
        if failures >= route.max_attempts:
            self._recorder.listed(run, completed=False, reason="attempts")

    def _on_failure(
        self, run: ItemRun, worker: Worker, fingerprint: int, failure: ExchangeFailed
    ) -> None:
        now_ms = self._clock.now_ms()
        run.failed_on.add(worker.worker_id)
        run.not_before_ms = now_ms + RETRY_MS
        self._fleet.on_exchange_failure(worker, fingerprint, failure)
        self._recorder.exchange_failed(run, failure)

    def _on_route_missing(self, run: ItemRun, now_ms: int) -> None:
        submission_id = run.submission.submission_id
        since_ms = self._route_missing_ms.setdefault(submission_id, now_ms)
        if self._routes.known and now_ms - since_ms > ROUTE_GONE_MS:
            self._recorder.listed(run, completed=False, reason="route_removed")
        else:
            run.not_before_ms = now_ms + RETRY_MS

    def _given_up(self, run: ItemRun, route: Route) -> bool:
        if not route.give_up_ms:
            return False
        age_ms = self._clock.wall_ms() - run.submission.arrived_wall_ms
        return age_ms > route.give_up_ms + GIVE_UP_MARGIN_MS

    def _yield_places(self) -> None:
        now_ms = self._clock.now_ms()
        by_worker: dict[str, list[ItemRun]] = {}
        for run in self._runs.values():
            if run.scope is not None and not run.scope.cancel_called:
                by_worker.setdefault(run.worker_id, []).append(run)
        for worker_id, runs in by_worker.items():
            worker = self._fleet.workers.get(worker_id)
            if worker is None:
                continue
            stopping = self._fleet.loads.own(worker_id).batch - len(runs)
            count = self._room.places_to_yield(worker, now_ms) - stopping
            if count <= 0:
                continue
            # What is due last gives way first.
            runs.sort(key=lambda run: -run.due_ms)
            for run in runs[:count]:
                load = self._fleet.loads.total(worker_id)
                self._recorder.yielded(run, worker, load)
                run.stop()

    def _fingerprint(self, run: ItemRun) -> int:
        return fingerprint_of(
            host=run.submission.host, target=run.item.target, body=run.item.body
        )
