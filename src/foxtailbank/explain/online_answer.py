"""What would become of an online request."""

import collections
import dataclasses

from foxtailbank.customers.customer import Customer
from foxtailbank.customers.share_counts import customer_key
from foxtailbank.explain.candidates import CandidateLister, no_reserve
from foxtailbank.explain.explanation import (
    CandidateView,
    OutcomeView,
    Result,
    ShareView,
)
from foxtailbank.explain.question import Question
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.placement import Refusal
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.peer_target import PeerTarget
from foxtailbank.forward.route import Route
from foxtailbank.forward.send_checks import CRASHES_WORKERS
from foxtailbank.forward.target_finder import TargetFinder

REFUSED_STATUS = 503  # as in `FinalResponse`
DRAWS = 16  # where chance decides; each takes as long as a real request's choice
NO_WORKER_REACHED = "no_worker_reached"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OnlineAnswer:
    """What was found out about an online request.

    Attributes
    ----------
    outcome : OutcomeView
        What becomes of it, in most of the draws.
    shares : tuple of ShareView
        Shares of its customer.
    draws : int
        How often the choice was drawn.
    candidates : tuple of CandidateView
        All workers.
    """

    outcome: OutcomeView
    shares: tuple[ShareView, ...]
    draws: int
    candidates: tuple[CandidateView, ...]


class OnlineQuestion:
    """Asks what would become of an online request.

    Parameters
    ----------
    context : ForwardContext
        A copy from `forward_fork`.
    question : Question
        The request.
    route : Route
        Its route.
    customer : Customer or None
        Whose it is.
    """

    def __init__(
        self,
        *,
        context: ForwardContext,
        question: Question,
        route: Route,
        customer: Customer | None,
    ) -> None:
        self._context = context
        self._fleet = context.fleet
        self._question = question
        self._route = route
        self._now_ms = context.clock.now_ms()
        self._call = question.make_call(customer, self._now_ms)

    def ask(self) -> OnlineAnswer:
        """Return the answer."""
        is_drawn = self._fleet.tiers.is_large_fleet or len(self._route.backends) > 1
        draws = DRAWS if is_drawn else 1
        outcomes = [self._draw() for _ in range(draws)]
        # Waits differ from draw to draw; the first outcome of its kind tells one.
        counts = collections.Counter(map(_kind, outcomes))
        likeliest = counts.most_common(1)[0][0]
        outcome = next(one for one in outcomes if _kind(one) == likeliest)
        endpoints = collections.Counter(
            one.endpoint for one in outcomes if one.result is Result.WORKER
        )
        shares = self._shares(outcomes)
        refused_ms = self._fleet.crashes.refused_ms(self._call)
        if refused_ms:
            outcome = OutcomeView(
                result=Result.REFUSED,
                status=REFUSED_STATUS,
                reason=CRASHES_WORKERS,
                wait_ms=refused_ms,
            )
            endpoints.clear()
        candidates = CandidateLister(
            fleet=self._fleet,
            kind=LoadKind.ONLINE,
            origin=self._question.origin(self._route),
            reserve=no_reserve,
            now_ms=self._now_ms,
        ).list_all(self._route.services, endpoints)
        return OnlineAnswer(
            outcome=outcome, shares=shares, draws=draws, candidates=candidates
        )

    def _draw(self) -> OutcomeView:
        finder = TargetFinder(
            call=self._call,
            route=self._route,
            recorder=CallRecorder(
                call=self._call, route=self._route, context=self._context
            ),
            context=self._context,
            tried=(),
            may_relay=True,
        )
        found = finder.foresee(
            remaining_ms=self._route.timeout_ms,
            origin=self._question.origin(self._route),
        )
        if isinstance(found, PeerTarget):
            return OutcomeView(
                result=Result.PEER, reason=NO_WORKER_REACHED, endpoint=found.peer_id
            )
        if isinstance(found.result, Refusal):
            return OutcomeView(
                result=Result.REFUSED,
                status=REFUSED_STATUS,
                reason=found.result.reason.value,
                wait_ms=int(found.result.wait_ms),
            )
        return OutcomeView(
            result=Result.WORKER,
            endpoint=found.result.worker.worker_id,
            reserves=found.reserves,
            wait_ms=int(found.result.wait_ms),
        )

    def _shares(self, outcomes: list[OutcomeView]) -> tuple[ShareView, ...]:
        """Return the shares as the request, counted with the others, finds them."""
        name = self._call.customer_name
        if not name:
            return ()
        views = []
        for service in sorted(self._route.services):
            workers = self._fleet.workers.usable(service)
            key = customer_key(service=service, name=name)
            loads = self._fleet.customer_loads
            with loads.counting(service, name):
                share = self._fleet.shares.share_of(name, workers, self._now_ms)
                excess = self._fleet.shares.find_excess(name, workers, self._now_ms)
            views.append(
                ShareView(
                    service=service,
                    in_flight=loads.online(key),
                    share=share,
                    is_exceeded=excess is not None,
                    age_ms=loads.age_ms(self._now_ms),
                )
            )
        return tuple(views)


def _kind(outcome: OutcomeView) -> tuple[Result, str, str]:
    return (outcome.result, outcome.reason, outcome.endpoint)
