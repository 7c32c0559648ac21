"""Explanations as text for people."""

import typing as t

from foxtailbank.explain.explanation import (
    ASKS_FIRST,
    BatchView,
    CandidateView,
    CustomerView,
    Explanation,
    KnowledgeView,
    LimitView,
    OutcomeView,
    Result,
    RouteView,
    ShareView,
)
from foxtailbank.text_table import Column, render_table

TITLE_WIDTH = 11
UNKNOWN = "-"
_COLUMNS = (
    Column(title="WORKER"),
    Column(title="SERVICE"),
    Column(title="ZONE"),
    Column(title="VERSION"),
    Column(title="ROOM", is_number=True),
    Column(title="SLOTS", is_number=True),
    Column(title="OWN", is_number=True),
    Column(title="SPEED", is_number=True),
    Column(title="ANSWERED", is_number=True),
    Column(title="DRAWN", is_number=True),
    Column(title="EXCLUDED"),
)


def render(explanation: Explanation) -> str:
    """Return the lines of an explanation, the outcome first."""
    lines = [
        _line("outcome", _outcome(explanation.outcome) + _condition(explanation)),
        _line("asked", _knowledge(explanation.knowledge)),
    ]
    if explanation.route is not None:
        lines.append(_line("route", _route(explanation.route)))
    if explanation.customer is not None:
        lines.append(_line("customer", _customer(explanation.customer)))
    if explanation.limit is not None:
        lines.append(_line("limit", _limit(explanation.limit)))
    lines += [_line("share", _share(share)) for share in explanation.shares]
    if explanation.batch is not None:
        lines += [_line("batch", text) for text in _batch(explanation.batch)]
    if explanation.candidates:
        lines += ["", _candidates(explanation)]
    return "\n".join(lines)


def _line(title: str, text: str) -> str:
    return f"{title.ljust(TITLE_WIDTH)}{text}"


def _age(age_ms: float | None) -> str:
    return UNKNOWN if age_ms is None else f"{age_ms:.0f} ms"


def _outcome(outcome: OutcomeView) -> str:
    wait = f", wait {outcome.wait_ms} ms" if outcome.wait_ms else ""
    accepted = f"{outcome.status}, its items: " if outcome.status == 202 else ""
    match outcome.result:
        case Result.WORKER:
            asks = ", which is asked for a slot first" if outcome.reserves else ""
            return f"{accepted}worker {outcome.endpoint} first{asks}{wait}"
        case Result.PEER:
            return f"carried by VM {outcome.endpoint}: {outcome.reason}"
        case Result.KEPT_BACK:
            return f"{accepted}kept back: {outcome.reason}{wait}"
        case _:
            return f"refused with {outcome.status}: {outcome.reason}{wait}"


def _condition(explanation: Explanation) -> str:
    limit = explanation.limit
    if limit is None or limit.decision != ASKS_FIRST:
        return ""
    return f", if {limit.granting_vm} grants a permit"


def _knowledge(known: KnowledgeView) -> str:
    return (
        f"{known.vm} in {known.zone}; configuration {known.configuration_version}, "
        f"{_age(known.configuration_age_ms)} old; load reports of "
        f"{known.peers_heard} of {known.peers} VMs, {_age(known.report_age_ms)} old"
    )


def _route(route: RouteView) -> str:
    access = ", public" if route.is_public else ""
    return (
        f"{route.name} ({route.kind}) {route.path_prefix} to "
        f"{', '.join(route.services)}; priority {route.priority}, "
        f"target {route.target_ms} ms, timeout {route.timeout_ms} ms{access}"
    )


def _customer(customer: CustomerView) -> str:
    name = customer.name or "none"
    key = "a key is needed" if customer.needs_key else "no key is needed"
    lease = "recent enough" if customer.lease_is_fresh else "too old, is read first"
    priority = "" if customer.priority is None else f", priority {customer.priority}"
    return f"{name}{priority}; {key}, configuration {lease} for keys"


def _limit(limit: LimitView) -> str:
    left = "known to that VM" if limit.permits_left is None else limit.permits_left
    answered = "none yet"
    if limit.answer_age_ms is not None:
        answered = f"{_age(limit.answer_age_ms)} ago"
    return (
        f"{limit.rate_per_s:g} requests/s, burst {limit.burst:g}: {limit.decision}; "
        f"granted by {limit.granting_vm}, permits held {limit.permits_here}, "
        f"left {left}, last answer {answered}"
    )


def _share(share: ShareView) -> str:
    if share.share is None:
        return f"{share.service}: {share.in_flight} in flight, nobody is limited"
    verdict = "exceeded" if share.is_exceeded else "not exceeded"
    return (
        f"{share.service}: {share.in_flight} in flight, share {share.share:.1f} slots, "
        f"{verdict}; reports up to {_age(share.age_ms)} old"
    )


def _batch(batch: BatchView) -> t.Iterator[str]:
    limit = f"limit {batch.tokens_limit}" if batch.tokens_limit else "no limit"
    yield f"tokens waiting {batch.waiting_tokens}, {limit}"
    burst = "a burst is on" if batch.burst_is_on else "no burst of online requests"
    yield (
        f"{burst}; no slot for the route's items for {_age(batch.no_slot_ms)}; "
        f"hold: {batch.hold or 'none'}; pause after crashes {batch.crash_pause_ms} ms"
    )
    floor = "has its floor" if batch.has_floor else "below its floor"
    part = "above its part" if batch.is_over_share else "within its part"
    yield (
        f"{batch.ahead} waiting items of this VM start before it; customer has "
        f"{batch.items_in_flight} running, {floor}, {part}"
    )


def _candidates(explanation: Explanation) -> str:
    views = explanation.candidates
    table = render_table(_COLUMNS, [_row(view, explanation.draws) for view in views])
    left_out = explanation.candidate_count - len(views)
    return table + (f"\n{left_out} more with --all" if left_out else "")


def _row(view: CandidateView, draws: int) -> list[str]:
    reasons = list(view.excluded)
    if view.reserved:
        reasons.append(f"reserve {view.reserved}")
    if view.limit_wait_ms:
        reasons.append(f"limit wait {view.limit_wait_ms} ms")
    if not view.is_reached:
        reasons.append("not reached last time")
    return [
        view.worker,
        view.service,
        view.zone or UNKNOWN,
        view.version or UNKNOWN,
        str(view.room),
        str(view.slots),
        str(view.own),
        f"{view.speed:.2f}",
        _age(view.answer_age_ms),
        f"{view.draws}/{draws}",
        ", ".join(reasons) or UNKNOWN,
    ]
