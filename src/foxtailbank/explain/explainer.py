"""Answers questions about requests that are not sent, in the order of real checks."""

import random

import msgspec

from foxtailbank.customers.customer import Customer
from foxtailbank.customers.rate_limiter import RateUnknown
from foxtailbank.customers.rate_wait import Outcome
from foxtailbank.exceptions import FoxtailbankError, InvalidRequest, RateLimited
from foxtailbank.explain.candidates import MAX_CANDIDATES
from foxtailbank.explain.deciders import Deciders
from foxtailbank.explain.explanation import (
    ASKS_FIRST,
    CandidateView,
    CustomerView,
    Explanation,
    KnowledgeView,
    LimitView,
    OutcomeView,
    Result,
    RouteView,
)
from foxtailbank.explain.item_answer import ItemQuestion
from foxtailbank.explain.online_answer import OnlineQuestion
from foxtailbank.explain.question import Question
from foxtailbank.forward.forward_fork import fork_context
from foxtailbank.forward.route import Route, RouteKind
from foxtailbank.forward.route_failures import ConfigurationUnknown, NoRoute
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.forward.stop_gate import VmStopping
from foxtailbank.http1.request_refused import RequestRefused

SEED = 0  # the same question in the same state has the same answer
ACCEPTED_STATUS = 202
BATCH_METHOD = "POST"


class Explainer:
    """Answers questions of operators; no answer has an effect on later requests.

    Parameters
    ----------
    deciders : Deciders
        What decides on real requests.
    vm_id : str
        This VM.
    """

    def __init__(self, *, deciders: Deciders, vm_id: str) -> None:
        self._deciders = deciders
        self._vm_id = vm_id

    def explain(self, question: Question) -> Explanation:
        """Return where the request would go now, and why."""
        known = Explanation(
            knowledge=self._knowledge(), outcome=OutcomeView(result=Result.REFUSED)
        )
        try:
            route = self._find_route(question)
            known = msgspec.structs.replace(
                known,
                route=_view_route(route),
                customer=self._view_customer(question, route),
            )
            customer = self._find_customer(question, route)
            if question.is_item or route.kind is RouteKind.BATCH:
                return self._explain_item(question, route, customer, known)
            return self._explain_online(question, route, customer, known)
        except FoxtailbankError as failure:
            return msgspec.structs.replace(known, outcome=_refusal(failure))

    def _find_route(self, question: Question) -> Route:
        """Return the route; the checks before it are those of each real request."""
        routes = self._deciders.routes
        if question.body_bytes > routes.limits.body_bytes:
            raise RequestRefused(status=413, detail="request body too large")
        if self._deciders.context.gate.is_closed:
            raise VmStopping()
        if not routes.is_loaded:
            raise ConfigurationUnknown()
        if question.is_item:
            return _find_item_route(question, routes)
        return _find_by_path(question, routes)

    def _find_customer(self, question: Question, route: Route) -> Customer | None:
        """Return whose it is; an item was admitted with its submission."""
        if not question.is_item:
            return self._deciders.customers.admit_named(question.customer, route)
        if not question.customer:
            return None
        known = self._deciders.routes.customers.get(question.customer)
        return known or Customer(name=question.customer)

    def _explain_online(
        self,
        question: Question,
        route: Route,
        customer: Customer | None,
        known: Explanation,
    ) -> Explanation:
        limit = self._view_limit(customer)
        answer = OnlineQuestion(
            context=fork_context(self._deciders.context, random.Random(SEED)),
            question=question,
            route=route,
            customer=customer,
        ).ask()
        return msgspec.structs.replace(
            known,
            limit=limit,
            outcome=_refuse_for_limit(limit) or answer.outcome,
            shares=answer.shares,
            draws=answer.draws,
            candidates=_some(answer.candidates, question),
            candidate_count=len(answer.candidates),
        )

    def _explain_item(
        self,
        question: Question,
        route: Route,
        customer: Customer | None,
        known: Explanation,
    ) -> Explanation:
        rng = random.Random(SEED)
        answer = ItemQuestion(
            deciders=self._deciders,
            context=fork_context(self._deciders.context, rng),
            rng=rng,
            question=question,
            route=route,
            customer=customer,
        ).ask()
        outcome = answer.outcome
        if not question.is_item:
            outcome = msgspec.structs.replace(outcome, status=ACCEPTED_STATUS)
            outcome = self._refuse_submission(question, route, customer) or outcome
        return msgspec.structs.replace(
            known,
            outcome=outcome,
            batch=answer.batch,
            draws=1,
            candidates=_some(answer.candidates, question),
            candidate_count=len(answer.candidates),
        )

    def _refuse_submission(
        self, question: Question, route: Route, customer: Customer | None
    ) -> OutcomeView | None:
        if question.method != BATCH_METHOD:
            return _refusal(InvalidRequest(detail="not sent by POST"))
        try:
            self._deciders.batch.check(
                route,
                customer.name if customer is not None else "",
                tokens=question.tokens,
                added_bytes=question.body_bytes,
            )
        except FoxtailbankError as failure:
            return _refusal(failure)
        return None

    def _knowledge(self) -> KnowledgeView:
        context = self._deciders.context
        loads = context.fleet.loads
        age_ms = loads.mean_report_age_ms(context.clock.now_ms())
        return KnowledgeView(
            vm=self._vm_id,
            zone=context.fleet.view.zone,
            configuration_version=self._deciders.routes.version,
            configuration_age_ms=self._deciders.lease.age_ms,
            peers_heard=loads.reporting_peer_count,
            peers=context.fleet.tiers.total_peer_count,
            report_age_ms=round(age_ms),
        )

    def _view_customer(self, question: Question, route: Route) -> CustomerView:
        known = self._deciders.routes.customers.get(question.customer)
        return CustomerView(
            name=question.customer,
            needs_key=self._deciders.customers.needs_key(route),
            priority=known.priority if known is not None else None,
            lease_is_fresh=self._deciders.lease.is_fresh,
        )

    def _view_limit(self, customer: Customer | None) -> LimitView | None:
        outlook = self._deciders.rates.outlook(customer) if customer else None
        if customer is None or outlook is None:
            return None
        return LimitView(
            rate_per_s=customer.rate_per_s,
            burst=customer.burst,
            decision=outlook.outcome.value if outlook.outcome else ASKS_FIRST,
            granting_vm=outlook.granting_vm,
            permits_here=outlook.in_stock,
            permits_left=outlook.in_bucket,
            wait_ms=outlook.wait_ms,
            answer_age_ms=outlook.answer_age_ms,
        )


def _find_by_path(question: Question, routes: RouteTable) -> Route:
    route = routes.find(question.host, question.path)
    if route is None:
        raise NoRoute(detail=f"{question.host}{question.path}")
    return route


def _find_item_route(question: Question, routes: RouteTable) -> Route:
    """Return the route that an item's submission arrived at."""
    if not question.route:
        route = _find_by_path(question, routes)
        if route.kind is not RouteKind.BATCH:
            detail = "an item goes by the route of its submission, which is not named"
            raise InvalidRequest(detail=detail)
        return route
    named = routes.find_batch(question.route)
    if named is None:
        raise NoRoute(detail=question.route)
    return named


def _refusal(failure: FoxtailbankError) -> OutcomeView:
    return OutcomeView(
        result=Result.REFUSED,
        status=failure.status,
        reason=failure.code,
        wait_ms=failure.retry_after_ms,
    )


def _refuse_for_limit(limit: LimitView | None) -> OutcomeView | None:
    if limit is None or limit.decision in (ASKS_FIRST, Outcome.GRANTED.value):
        return None
    failure = RateLimited if limit.decision == Outcome.LIMIT.value else RateUnknown
    return OutcomeView(
        result=Result.REFUSED,
        status=failure.status,
        reason=failure.code,
        wait_ms=limit.wait_ms,
    )


def _some(
    candidates: tuple[CandidateView, ...], question: Question
) -> tuple[CandidateView, ...]:
    return candidates if question.shows_all else candidates[:MAX_CANDIDATES]


def _view_route(route: Route) -> RouteView:
    return RouteView(
        name=route.name,
        kind=route.kind.value,
        path_prefix=route.path_prefix,
        services=tuple(sorted(route.services)),
        priority=route.priority,
        target_ms=route.target_ms,
        timeout_ms=route.timeout_ms,
        is_public=route.is_public,
    )
