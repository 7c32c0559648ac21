import collections

import pytest

from foxtailbank.batch_order import (
    BatchOrder,
    ChunkCandidate,
    Urgency,
    estimate_feasibility,
    usable_reserve,
)

FAR_MS = 10**9


def chunk(job_id, *, owner="a", deadline_ms=FAR_MS, left=1000, number=0):
    return ChunkCandidate(
        job_id=job_id,
        chunk=number,
        owner=owner,
        deadline_ms=deadline_ms,
        job_tokens_left=left,
    )


@pytest.mark.parametrize(
    ("tokens_left", "deadline_ms", "urgency"),
    [
        (100_000, 124_000, Urgency.LATE),
        (100_000, 126_000, Urgency.TIGHT),
        (100_000, 190_000, Urgency.RELAXED),
        (0, 59_000, Urgency.TIGHT),
        (0, -1, Urgency.LATE),
    ],
)
def test_urgency_follows_the_slack(tokens_left, deadline_ms, urgency):
    result = estimate_feasibility(
        tokens_left=tokens_left, tokens_per_s=1000, deadline_ms=deadline_ms, now_ms=0
    )
    assert result.urgency is urgency


@pytest.mark.parametrize(
    ("urgency", "streams"),
    [(Urgency.LATE, 8), (Urgency.TIGHT, 4), (Urgency.RELAXED, 0)],
)
def test_reserve_by_urgency(urgency, streams):
    assert usable_reserve(urgency, 8) == streams


def test_earliest_deadline_first_within_an_owner():
    order = BatchOrder(tokens_per_s=1000)
    chunks = [chunk("later", deadline_ms=FAR_MS + 1), chunk("sooner")]
    assert order.next_chunk(chunks, 0).job_id == "sooner"
    assert order.next_chunk([], 0) is None


def test_owners_share_by_weight():
    order = BatchOrder(tokens_per_s=1000)
    order.set_weight("b", 3.0)
    chunks = [chunk("1", owner="a"), chunk("2", owner="b")]
    started = collections.Counter()
    for _ in range(400):
        owner = order.next_chunk(chunks, 0).owner
        started[owner] += 1
        order.on_served(owner, 100)
    assert started == {"a": 100, "b": 300}


def test_late_job_goes_first_without_starving_others():
    order = BatchOrder(tokens_per_s=1000, max_lead_tokens=1000)
    chunks = [chunk("late", owner="a", deadline_ms=1), chunk("easy", owner="b")]
    owners = []
    for _ in range(100):
        owners.append(order.next_chunk(chunks, 0).owner)
        order.on_served(owners[-1], 100)
    assert owners[:10] == ["a"] * 10
    assert 40 <= owners.count("b") <= 50


def test_idle_owner_earns_no_credit():
    order = BatchOrder(tokens_per_s=1000)
    for _ in range(50):
        order.next_chunk([chunk("1", owner="a")], 0)
        order.on_served("a", 1000)
    both = [chunk("1", owner="a"), chunk("2", owner="b")]
    owners = []
    for _ in range(10):
        owners.append(order.next_chunk(both, 0).owner)
        order.on_served(owners[-1], 1000)
    assert owners.count("a") == 5
