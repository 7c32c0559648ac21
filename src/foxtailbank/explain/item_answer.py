"""What would become of a batch item that this VM runs."""

import collections
import dataclasses
import random

from foxtailbank.customers.customer import Customer
from foxtailbank.customers.share_counts import BATCH_POOL, customer_key
from foxtailbank.explain.candidates import CandidateLister
from foxtailbank.explain.deciders import Deciders
from foxtailbank.explain.explanation import (
    BatchView,
    CandidateView,
    OutcomeView,
    Result,
)
from foxtailbank.explain.question import Question
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.route import Route
from foxtailbank.submissions import item_order
from foxtailbank.submissions.item_holds import crash_pause_ms
from foxtailbank.submissions.item_placement import ItemPlacement
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import Item
from foxtailbank.submissions.submission import Submission

CRASHES_WORKERS = "crashes_workers"
NO_SLOT = "no_slot"
RESERVED = "reserved_for_online"
ORDER = "order"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ItemAnswer:
    """What was found out about an item.

    Attributes
    ----------
    outcome : OutcomeView
        What becomes of it.
    batch : BatchView
        What decides on it.
    candidates : tuple of CandidateView
        All workers.
    """

    outcome: OutcomeView
    batch: BatchView
    candidates: tuple[CandidateView, ...]


class ItemQuestion:
    """Asks what would become of an item.

    Parameters
    ----------
    deciders : Deciders
        What is asked.
    context : ForwardContext
        A copy from `forward_fork`.
    rng : random.Random
        Draws the service of the route.
    question : Question
        The item.
    route : Route
        Its route.
    customer : Customer or None
        Whose it is.
    """

    def __init__(
        self,
        *,
        deciders: Deciders,
        context: ForwardContext,
        rng: random.Random,
        question: Question,
        route: Route,
        customer: Customer | None,
    ) -> None:
        self._deciders = deciders
        self._runner = deciders.runner
        self._fleet = context.fleet
        self._question = question
        self._route = route
        self._name = customer.name if customer is not None else ""
        self._now_ms = context.clock.now_ms()
        self._capacity = self._runner.capacity.fork(self._fleet.view)
        self._placement = ItemPlacement(
            fleet=self._fleet, capacity=self._capacity, rng=rng
        )

    def ask(self) -> ItemAnswer:
        """Return the answer."""
        batch = self._batch()
        run = self._new_run()
        worker = self._placement.choose(
            run, self._route, waited_ms=batch.no_slot_ms, now_ms=self._now_ms
        )
        worker_id = worker.worker_id if worker is not None else ""
        candidates = CandidateLister(
            fleet=self._fleet,
            kind=LoadKind.BATCH,
            origin=run.origin,
            reserve=self._capacity.reserved_slots,
            now_ms=self._now_ms,
        ).list_all(self._route.services, collections.Counter([worker_id]))
        outcome = self._outcome(batch, worker_id, candidates)
        return ItemAnswer(outcome=outcome, batch=batch, candidates=candidates)

    def _outcome(
        self, batch: BatchView, worker_id: str, candidates: tuple[CandidateView, ...]
    ) -> OutcomeView:
        if batch.hold:
            return OutcomeView(result=Result.KEPT_BACK, reason=batch.hold)
        if batch.crash_pause_ms:
            return OutcomeView(
                result=Result.KEPT_BACK,
                reason=CRASHES_WORKERS,
                wait_ms=batch.crash_pause_ms,
            )
        if not worker_id:
            is_reserved = any(view.excluded == (RESERVED,) for view in candidates)
            reason = RESERVED if is_reserved else NO_SLOT
            return OutcomeView(result=Result.KEPT_BACK, reason=reason)
        if batch.ahead and batch.no_slot_ms:
            # Those before it found no slot, and the route's items start in order.
            return OutcomeView(result=Result.KEPT_BACK, reason=ORDER)
        return OutcomeView(result=Result.WORKER, endpoint=worker_id)

    def _batch(self) -> BatchView:
        shares = self._fleet.shares.batch_shares(
            {*self._runner.runs.customer_names, self._name}
        )
        rank = shares.rank(self._name)
        key = customer_key(service=BATCH_POOL, name=self._name)
        return BatchView(
            waiting_tokens=self._deciders.batch.waiting_tokens(self._route, self._name),
            tokens_limit=self._route.waiting_tokens,
            hold=self._runner.hold.value if self._runner.hold is not None else "",
            crash_pause_ms=crash_pause_ms(
                self._fleet.crashes, self._question.prompt_parts
            ),
            burst_is_on=any(map(self._capacity.is_burst_on, self._route.services)),
            ahead=self._ahead(),
            no_slot_ms=self._runner.no_slot_ms(self._route.name, self._now_ms),
            items_in_flight=self._fleet.customer_loads.batch(key) if self._name else 0,
            has_floor=rank.has_floor,
            is_over_share=rank.is_over_share,
        )

    def _ahead(self) -> int:
        """Return how many waiting items start before it."""
        run = self._new_run()
        shares = self._fleet.shares.batch_shares(
            {*self._runner.runs.customer_names, self._name}
        )
        waiting = [*self._runner.runs.waiting(self._now_ms), run]
        order = item_order.start_order(waiting, shares=shares, now_ms=self._now_ms)
        return next(place for place, other in enumerate(order) if other is run)

    def _new_run(self) -> ItemRun:
        question = self._question
        item = Item(item_id="", target=question.target, headers=(), body=b"", tokens=0)
        submission = Submission(
            submission_id="",
            route=self._route.name,
            host=question.host,
            target=question.target,
            arrived_wall_ms=0,
            owner="",
            items_by_id={},
            customer=self._name,
        )
        return ItemRun(
            submission=submission,
            item=item,
            due_ms=self._now_ms + self._route.run_deadline_ms,
            prompt_parts=question.prompt_parts,
            origin=question.origin(self._route),
        )
