"""Items of a VM whose state was restored and has not caught up with the log yet."""

import anyio
import pytest

from foxtailbank.forward.route import RouteKind
from foxtailbank.keyed_log import AppendId
from foxtailbank.submissions.records import (
    AttemptFailed,
    Ended,
    Submitted,
    TakenOver,
    encode,
)
from foxtailbank.submissions.submission_routes import ROUTE_REMOVED_MS
from item_vm import HOST, TARGET, ItemVm
from serving_fakes import FakeResponse, make_route
from test_submission_ledger import make_item

pytestmark = pytest.mark.anyio
SUBMITTED = Submitted(
    submission_id="s1",
    attempt="1",
    route="r",
    host=HOST,
    target=TARGET,
    arrived_wall_ms=1_000,
    waiting_limit=0,
    owner="vm1/1",
    items=(make_item("i"),),
)
ENDED = Ended(submission_id="s1")
TAKEN_OVER = TakenOver(submission_id="s1", generation=1, owner="vm2/1")


class RestoringVm(ItemVm):
    """A VM that restores its state slowly while the log goes on."""

    def __init__(self):
        answer = FakeResponse(parts=(b"id: 0\ndata: x\n\n",))
        super().__init__(answer, has_caught_up=False)
        self.log.held_newest = anyio.Event()
        self._sequence = 0

    async def append_elsewhere(self, record):
        self._sequence += 1
        step = AppendId(producer="vm2/1", epoch=1, sequence=self._sequence)
        stored = encode(record, key_suffix=str(self._sequence))
        await self.log.append((stored,), append_id=step)


# An item was run whose submission had ended, or had another owner, while the VM still
# read its state.
@pytest.mark.parametrize(
    ("later_record", "is_run"),
    [
        pytest.param(ENDED, False, id="ended"),
        pytest.param(TAKEN_OVER, False, id="taken-over"),
        pytest.param(None, True, id="still-owned"),
    ],
)
async def test_items_wait_until_a_restored_state_has_caught_up(later_record, is_run):
    vm = RestoringVm()
    await vm.append_elsewhere(SUBMITTED)
    async with vm.running(), anyio.create_task_group() as group:
        group.start_soon(vm.follower.run)
        await anyio.sleep(0.05)
        if later_record is not None:
            await vm.append_elsewhere(later_record)
        held = vm.log.held_reads = anyio.Event()
        vm.log.held_newest.set()
        await anyio.sleep(0.5)
        assert vm.client.sent == []
        held.set()
        await anyio.sleep(0.6)
        assert bool(vm.client.sent) is is_run
        group.cancel_scope.cancel()


# An item was given up for good since a VM had an old configuration, without its route
# or with fewer attempts.
@pytest.mark.parametrize(
    ("age_ms", "is_given_up"),
    [
        pytest.param(100, True, id="recent"),
        pytest.param(ROUTE_REMOVED_MS + 1, False, id="old"),
        pytest.param(None, False, id="unknown"),
    ],
)
async def test_an_item_is_given_up_only_by_a_recent_configuration(age_ms, is_given_up):
    vm = ItemVm(routes=(make_route(name="other", kind=RouteKind.BATCH),))
    vm.routes.set_age_source(lambda: age_ms)
    vm.submit()
    async with vm.running():
        for _ in range(4):
            vm.clock.advance(ROUTE_REMOVED_MS)
            await anyio.sleep(0.3)
    assert [result.completed for result in vm.results()] == [False] * is_given_up


# An item that failed at each run was sent again and again, as its failures were counted
# in a copy of the log that was behind.
@pytest.mark.parametrize("earlier_failures", [0, 1, 2])
async def test_failures_count_before_they_are_read_back(earlier_failures):
    max_attempts = 3
    vm = ItemVm(
        *(FakeResponse(status=500) for _ in range(2 * max_attempts)),
        routes=(make_route(kind=RouteKind.BATCH, max_attempts=max_attempts),),
    )
    vm.submit()
    failed = AttemptFailed(submission_id="s1", item_id="s1-i")
    for _ in range(earlier_failures):
        vm.table.ledger.apply(failed)
    async with vm.running():
        for _ in range(2 * max_attempts):
            vm.clock.advance(1_000)
            await anyio.sleep(0.3)
    assert len(vm.client.sent) == max_attempts - earlier_failures
    assert [result.completed for result in vm.results()] == [False]
