"""When a VM saves the output of running items."""

import pytest

from foxtailbank.submissions.records import Progress, decode
from item_vm import WORKER_IDS, ItemVm, success
from serving_fakes import make_worker

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards against saves that take the VMs longer to read while they can't keep up.
@pytest.mark.parametrize(("unread_count", "saved_count"), [(0, 1), (5, 0)])
async def test_no_progress_is_saved_while_the_log_is_behind(unread_count, saved_count):
    vm = ItemVm(success(), workers=[make_worker(WORKER_IDS[0], draining=True)])
    vm.submit()
    async with vm.running():
        await vm.pass_time(3_000)
        vm.follower.known_end = vm.follower.next_offset + unread_count
        vm.fleet.workers.put(make_worker(WORKER_IDS[0]))
        await vm.pass_time(5_000, until=vm.results)
    records = [decode(stored.value) for stored in vm.log.records if stored.value]
    assert sum(isinstance(record, Progress) for record in records) == saved_count
    assert len(vm.results()) == 1
