"""One process of a VM with the product's submission log, and who calls it."""

import random

import anyio

from answer_oracle import Absence
from fake_texts import make_texts
from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.log_follower import LogFollower
from foxtailbank.metrics import Metrics
from foxtailbank.serving_vm import SUBMISSIONS_READ_PAUSE_MS
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.failures import (
    ItemUnknown,
    StateUnknown,
    SubmissionUnknown,
)
from foxtailbank.submissions.item_recorder import ItemRecorder
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.new_submission import NewSubmission
from foxtailbank.submissions.records import Item, TakenOver, encode
from foxtailbank.submissions.retirement import Retirement
from foxtailbank.submissions.service import SubmissionService
from foxtailbank.submissions.submission_table import SubmissionTable
from foxtailbank_platform.store import KeyedTopic
from platform_hostile_store import HostileClient, Path
from serving_fakes import make_logs, make_route
from simulated_processes import PausableClock

WALL_RATE = 10  # of the wall clock, so that submissions are retired in a short run
RECORD_BYTES = 500
CALL_BYTES = 900
ITEM_TOKENS = 10
ITEMS = 6
CALLERS = 4
CLOCK_STEP_MS = 1


class PositionVm:
    """One process of a VM: what it writes, what it follows and who calls it."""

    def __init__(self, fleet, vm_id, incarnation):
        self.fleet = fleet
        self.vm_id = vm_id
        self.owner_id = f"{vm_id}/{incarnation}"
        self.rng = random.Random(fleet.rng.random())
        self.process = fleet.schedule.add()
        self.path = Path(self.rng)
        self.clock = PausableClock(
            process=self.process,
            wall_rate=WALL_RATE,
            draw_pause_s=self._draw_clock_pause_s,
        )
        client = HostileClient(
            schedule=fleet.schedule,
            process=self.process,
            store=fleet.store,
            path=self.path,
        )
        log = KeyedTopic(store=client, topic="keyed.t")
        self.table = SubmissionTable(logs=make_logs())
        common = {"logs": make_logs(), "clock": self.clock}
        self.follower = LogFollower(
            name="submissions",
            log=log,
            state=self.table,
            pause_ms=SUBMISSIONS_READ_PAUSE_MS,
            **common,
        )
        self.appends = AppendQueue(
            log=log,
            producer=self.owner_id,
            call_bytes=CALL_BYTES,
            record_bytes=RECORD_BYTES,
            **common,
        )
        owned = {"owner_id": self.owner_id, "table": self.table, **common}
        texts = make_texts(self.appends, self.clock)
        self.retirement = Retirement(appends=self.appends, texts=texts, **owned)
        self.batch = SubmissionService(
            follower=self.follower,
            appends=self.appends,
            part_bytes=RECORD_BYTES // 2,
            texts=texts,
            max_stored_bytes=1 << 24,
            max_text_bytes=1 << 24,
            **owned,
        )
        self.recorder = ItemRecorder(
            owner_id=self.owner_id,
            appends=self.appends,
            texts=texts,
            metrics=Metrics(),
            **common,
        )
        self._state_end = 0
        self._runs_by_key = {}
        self._claimed = set()
        self._text_count = 0
        self.table.on_change(self._note_state_end)
        self.process.start(self._main)

    def _draw_clock_pause_s(self):
        is_paused = self.rng.random() < self.fleet.faults.clock_pauses
        return self.rng.uniform(0.1, 3.0) if is_paused else 0.0

    async def _main(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.follower.run)
            group.start_soon(self.appends.run)
            group.start_soon(self.retirement.run)
            group.start_soon(self._repeat, 0.15, self._run_items)
            group.start_soon(self._repeat, 1.0, self._submit)
            group.start_soon(self._repeat, 4.0, self._end)
            group.start_soon(self._repeat, 0.5, self._read_body)
            for _ in range(CALLERS):
                group.start_soon(self._repeat, 0.2, self._read)

    async def _repeat(self, mean_s, action):
        while True:
            await anyio.sleep(self.rng.expovariate(1 / mean_s))
            await action()

    def check_age(self):
        """Check that the state is as young as its follower says."""
        self._note_state_end()
        self.clock.may_pause = False
        age_ms = self.follower.state_age_ms
        self.clock.may_pause = True
        if age_ms is None:
            return
        complete_s = self.process.now_s - (age_ms + CLOCK_STEP_MS) / MS_PER_S
        if self._state_end < self.fleet.store.end_at(complete_s):
            self.fleet.oracle.on_wrong_age(self.vm_id, self.process.now_s, age_ms)

    def _note_state_end(self):
        # Unknown while the state is being replaced; until then the old one stays.
        if self.follower.is_restored:
            self._state_end = self.follower.next_offset

    def take_over(self, owner_id):
        """Claim open submissions of another process, as their successor would."""
        for submission in self.table.ledger.all():
            claim = (submission.submission_id, submission.generation + 1)
            if submission.owner != owner_id or not submission.is_open:
                continue
            if claim not in self._claimed:
                self._claimed.add(claim)
                record = TakenOver(
                    submission_id=claim[0], generation=claim[1], owner=self.owner_id
                )
                suffix = f"{self.owner_id}/{claim[1]}"
                self.appends.put((encode(record, key_suffix=suffix),), urgent=False)

    async def _run_items(self):
        owned = [
            (submission, item)
            for submission in self.table.ledger.all()
            if submission.owner == self.owner_id
            for item in submission.waiting_items()
        ]
        if not owned or not self.appends.has_capacity:
            return
        submission, item = self.rng.choice(owned)
        key = (submission.submission_id, item.item_id)
        run = self._runs_by_key.setdefault(
            key, ItemRun(submission=submission, item=item, due_ms=0)
        )
        if run.is_done:
            return
        self._text_count += 1
        run.texts.append(f"{self.owner_id}.{self._text_count}")
        kind = self.rng.random()
        if kind < 0.15:
            self.recorder.record_attempt_failure(run)
        elif kind < 0.35:
            self.recorder.save_progress(run)
        else:
            finished_s = self.fleet.oracle.finished_s
            at_s = self.process.now_s
            finished_s[key] = min(finished_s.get(key, at_s), at_s)
            self.recorder.record_end(run, completed=kind < 0.9, reason="t")

    async def _submit(self):
        submission_id = self.rng.choice(self.fleet.names(2))
        rng = random.Random(submission_id)  # a repeat has the same items
        items = tuple(
            Item(
                item_id=f"i{number}",
                target="/",
                headers=(),
                body=b"b" * rng.choice((5, 40, 400)),
                tokens=ITEM_TOKENS,
            )
            for number in range(ITEMS)
        )
        new = NewSubmission(
            submission_id=submission_id, host="h", target="/", items=items
        )
        self.fleet.oracle.on_submitted(submission_id, self.process.now_s)
        try:
            await self.batch.submit(new, make_route(waiting_tokens=800))
        except FoxtailbankError:
            return
        self.fleet.oracle.on_accepted(submission_id, self.process.now_s)

    async def _end(self):
        submission_id = self.rng.choice(self.fleet.names())
        ended_s = self.fleet.oracle.ended_s
        ended_s[submission_id] = min(
            ended_s.get(submission_id, self.process.now_s), self.process.now_s
        )
        try:
            await self.batch.end(submission_id)
        except SubmissionUnknown:
            self._on_absent(submission_id, None)
        except FoxtailbankError:
            return

    async def _read(self):
        submission_id, position = self.fleet.next_read(self.rng)
        wait_ms = self.rng.choice((0, 0, 300, 1_000))
        oracle = self.fleet.oracle
        try:
            page = await self.batch.results(
                submission_id, position=position, wait_ms=wait_ms
            )
        except SubmissionUnknown:
            self._on_absent(submission_id, None)
        except StateUnknown:
            oracle.unknown_states += 1
        else:
            at_s = self.process.now_s
            oracle.on_page(self.vm_id, submission_id, position, page, at_s)
            if not page.results and position < page.total:
                self._on_absent(submission_id, position)

    async def _read_body(self):
        submission_id = self.rng.choice(self.fleet.names())
        item_id = f"i{self.rng.randrange(ITEMS)}"
        try:
            await self.batch.item_body(submission_id, item_id)
        except SubmissionUnknown:
            self._on_absent(submission_id, None)
        except ItemUnknown:
            self._on_absent(submission_id, item_id)
        except StateUnknown:
            self.fleet.oracle.unknown_states += 1

    def _on_absent(self, submission_id, what):
        # A pause after the last check can't be helped, and isn't of a VM in touch.
        at_s = self.process.now_s - self.clock.last_pause_s
        self.clock.may_pause = False
        age_ms = self.follower.state_age_ms
        self.clock.may_pause = True
        self.fleet.oracle.on_absent(
            Absence(
                at_s=at_s,
                vm=self.vm_id,
                submission_id=submission_id,
                what=what,
                age_s=age_ms and age_ms / MS_PER_S - self.clock.last_pause_s,
            )
        )
