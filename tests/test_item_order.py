"""Whose batch items start and yield first where customers share the workers."""

import pytest

from foxtailbank.customers.customer import Customer
from foxtailbank.customers.share_batch import BatchShares
from foxtailbank.submissions import item_order
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import Item
from foxtailbank.submissions.submission import Submission

NOW_MS = 10_000


def make_run(customer, due_ms):
    item = Item(
        item_id=f"{customer}{due_ms}", target="/", headers=(), body=b"", tokens=1
    )
    submission = Submission(
        submission_id="s",
        route="r",
        host="h",
        target="/",
        arrived_wall_ms=0,
        owner="vm/1",
        items_by_id={item.item_id: item},
        customer=customer,
    )
    return ItemRun(submission=submission, item=item, due_ms=due_ms)


def make_shares(*, priorities=None, **in_flight):
    """Return the shares of customers of equal weight."""
    priorities = priorities or {}
    return BatchShares(
        customers=[
            Customer(name=name, priority=priorities.get(name, 0)) for name in in_flight
        ],
        weight_by_name=dict.fromkeys(in_flight, 1.0),
        in_flight_by_name=in_flight,
    )


def names(runs):
    return "".join(run.customer_name for run in runs)


# Guards against a submission of many items that keeps another customer's waiting.
def test_customers_of_one_priority_take_turns():
    waiting = [make_run("a", NOW_MS + n) for n in range(3)]
    waiting += [make_run("b", NOW_MS + 10 + n) for n in range(3)]
    order = item_order.start_order(waiting, shares=make_shares(a=0, b=0), now_ms=NOW_MS)
    assert names(order) == "ababab"


@pytest.mark.parametrize(
    ("in_flight", "priorities", "expected"),
    [
        pytest.param({"a": 4, "b": 4}, {"a": 1}, "ba", id="high-priority-first"),
        pytest.param({"a": 9, "b": 4}, {}, "ba", id="below-its-share-first"),
        pytest.param({"a": 1, "b": 9}, {"a": 1}, "ab", id="low-priority-has-a-floor"),
        pytest.param({"a": 4, "b": 4}, {}, "ab", id="due-first"),
    ],
)
def test_items_start_by_rank_and_are_preempted_in_reverse(
    in_flight, priorities, expected
):
    runs = [make_run("a", NOW_MS + 1), make_run("b", NOW_MS + 2)]
    shares = make_shares(priorities=priorities, **in_flight)
    preempted = item_order.preemption_order(runs, shares=shares)
    assert names(preempted) == expected[::-1]
    started = item_order.start_order(runs, shares=shares, now_ms=NOW_MS)
    assert names(started) == expected


def test_an_overdue_item_starts_after_those_that_can_be_on_time():
    runs = [make_run("a", NOW_MS - 1), make_run("b", NOW_MS + 1)]
    shares = make_shares(priorities={"b": 1}, a=4, b=4)
    assert names(item_order.start_order(runs, shares=shares, now_ms=NOW_MS)) == "ba"


def test_without_customers_what_is_due_first_starts_first_and_yields_last():
    runs = [make_run("", NOW_MS + due) for due in (-5, 30, 10, 20)]
    started = item_order.start_order(runs, shares=BatchShares(), now_ms=NOW_MS)
    assert [run.due_ms - NOW_MS for run in started] == [10, 20, 30, -5]
    preempted = item_order.preemption_order(runs, shares=BatchShares())
    assert [run.due_ms - NOW_MS for run in preempted] == [30, 20, 10, -5]
