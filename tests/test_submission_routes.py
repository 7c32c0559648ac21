"""The route of a submission decides about its items, whatever path these have."""

import pytest

from foxtailbank.forward.route import GIVE_UP_MARGIN_MS, Backend, RouteKind
from foxtailbank.submissions.submission_routes import ROUTE_REMOVED_MS
from item_vm import BURST_MS, ItemVm, success
from serving_fakes import FakeResponse, make_route, make_routes, make_worker

pytestmark = pytest.mark.anyio
ATTEMPTS = 3
DEADLINE_MS = 9_000
ITEM_PATH = "/online/x"
SERVICE, OTHER_SERVICE = "s", "other"
WORKERS = (make_worker("w1", service=SERVICE), make_worker("w2", service=OTHER_SERVICE))


def batch_route(**changes):
    fields = {
        "name": "r",
        "path_prefix": "/batch/",
        "kind": RouteKind.BATCH,
        "max_attempts": ATTEMPTS,
        "run_deadline_ms": DEADLINE_MS,
    }
    return make_route(**{**fields, **changes})


def online_route(**changes):
    """Return a route of the items' paths that differs from theirs in all it decides."""
    fields = {
        "name": "online",
        "path_prefix": "/online/",
        "kind": RouteKind.STREAM,
        "max_attempts": 1,
        "run_deadline_ms": 1,
        "give_up_ms": 1,
        "backends": (Backend(service=OTHER_SERVICE, weight=1),),
    }
    return make_route(**{**fields, **changes})


OF_OTHER_HOST = online_route(host="other")
OTHER_BATCH = online_route(kind=RouteKind.BATCH)
ITEM_ROUTES = [
    pytest.param((), id="none"),
    pytest.param((online_route(),), id="online"),
    pytest.param((OF_OTHER_HOST,), id="other-host"),
    pytest.param((OTHER_BATCH,), id="other-batch"),
    pytest.param((online_route(path_prefix="/"),), id="all-paths"),
]


def items_vm(*script, item_routes=(), batch_routes=None):
    routes = (*(batch_routes or (batch_route(),)), *item_routes)
    vm = ItemVm(*script, workers=WORKERS, routes=routes)
    vm.submit(target=ITEM_PATH)
    return vm


# Guards against items that ran at a service, ended after so many failures, or were due
# and given up at a time that a route of their own path names.
@pytest.mark.parametrize("item_routes", ITEM_ROUTES)
@pytest.mark.parametrize("failures", [0, ATTEMPTS - 1, ATTEMPTS])
async def test_items_run_by_the_route_of_their_submission(item_routes, failures):
    script = [FakeResponse(status=500)] * failures + [success()]
    vm = items_vm(*script, item_routes=item_routes)
    async with vm.running():
        (run,) = vm.runner.runs.all()
        assert run.due_ms == vm.clock.now_ms() + DEADLINE_MS
        await vm.pass_time(GIVE_UP_MARGIN_MS, until=vm.results)
    assert {worker_id for worker_id, *_ in vm.client.sent} == {"w1"}
    assert len(vm.client.sent) == min(failures + 1, ATTEMPTS)
    assert [result.completed for result in vm.results()] == [failures < ATTEMPTS]


# Guards against accepted items that were given up as another route was removed, and
# against items that were run on after their own route was.
@pytest.mark.parametrize(
    ("kept", "is_run"),
    [
        pytest.param((batch_route(),), True, id="route-of-the-items-removed"),
        pytest.param((online_route(),), False, id="route-removed"),
        pytest.param((), False, id="both-removed"),
        pytest.param(
            (batch_route(kind=RouteKind.SAFE),), False, id="route-made-an-online-one"
        ),
        pytest.param((batch_route(name="r2"),), False, id="another-route-has-its-path"),
        pytest.param(
            (batch_route(path_prefix="/moved/"),), True, id="route-has-another-path"
        ),
    ],
)
async def test_items_end_with_the_route_of_their_submission(kept, is_run):
    vm = items_vm(success(), item_routes=(online_route(),))
    vm.routes.apply(make_routes(*kept, version=2))
    async with vm.running():
        passed_ms = await vm.pass_time(BURST_MS, until=vm.results)
        await vm.pass_time(ROUTE_REMOVED_MS)
    assert len(vm.client.sent) == is_run
    assert [result.completed for result in vm.results()] == [is_run]
    assert is_run or passed_ms > ROUTE_REMOVED_MS  # it may be back until then


# Guards against items that are given up though their route is there again, and against
# items that start without a route.
async def test_items_wait_while_their_route_is_away_for_a_while():
    vm = items_vm(success())
    vm.routes.apply(make_routes(version=2))
    async with vm.running():
        await vm.pass_time(ROUTE_REMOVED_MS - 500)
        assert vm.client.sent == vm.results() == []
        vm.routes.apply(make_routes(batch_route(), version=3))
        await vm.pass_time(BURST_MS, until=vm.results)
    assert [result.completed for result in vm.results()] == [True]


# Guards against items that go by what the configuration said when they were accepted,
# or when they came to this VM.
async def test_a_change_of_the_route_holds_for_items_that_wait():
    vm = items_vm(FakeResponse(status=500), success(), item_routes=(online_route(),))
    changed = batch_route(
        max_attempts=1,
        run_deadline_ms=1,
        backends=(Backend(service=OTHER_SERVICE, weight=1),),
    )
    async with vm.running():
        (run,) = vm.runner.runs.all()
        vm.routes.apply(make_routes(changed, version=2))
        assert run.due_ms == vm.clock.now_ms() + 1
        await vm.pass_time(BURST_MS, until=vm.results)
    assert [worker_id for worker_id, *_ in vm.client.sent] == ["w2"]
    assert [result.completed for result in vm.results()] == [False]
