"""Who goes on with the items of a VM that died, stopped, restarted or was cut off."""

import msgspec
import pytest

from foxtailbank.address import parse_address
from foxtailbank.fleet.peer_book import PeerBook
from foxtailbank.keyed_log import StoreRefused
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.book import SubmissionBook
from foxtailbank.submissions.records import Ended
from foxtailbank.submissions.takeover import SETTLE_MS, SILENT_MS, Takeover
from serving_fakes import FakeKeyedLog, FakeLeases, make_logs, make_report, manual_clock
from test_submission_ledger import make_submitted

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Vm:
    """A takeover on one VM beside an owner ``vm/1``."""

    def __init__(self, vm_id="b"):
        self.clock = manual_clock()
        self.book = SubmissionBook(logs=make_logs())
        self.book.ledger.apply(make_submitted())
        self.peers = PeerBook(vm_id=vm_id, zone="z1")
        self.leases = FakeLeases()
        self.appends = AppendQueue(
            log=FakeKeyedLog(),
            producer="b/1",
            call_bytes=1_000,
            logs=make_logs(),
            clock=self.clock,
        )
        self.takeover = Takeover(
            vm_id=vm_id,
            me=f"{vm_id}/9",
            book=self.book,
            appends=self.appends,
            peers=self.peers,
            leases=self.leases,
            logs=make_logs(),
            clock=self.clock,
        )
        self.clock.advance(SETTLE_MS)

    def hear(self, vm_id="vm", *, incarnation=1, stopping=False):
        report = make_report(
            vm_id,
            incarnation=incarnation,
            sequence=self.clock.now_ms(),
            stopping=stopping,
        )
        self.peers.on_report(report, parse_address("127.0.0.1:1"), self.clock.now_ms())

    async def claims(self, *, looks=2, gap_ms=SILENT_MS):
        for _ in range(looks):
            await self.takeover.look()
            self.clock.advance(gap_ms)
        return not self.appends.is_empty


async def test_a_live_owner_keeps_its_items():
    vm = Vm()
    vm.hear()
    assert not await vm.claims(looks=1)


async def test_a_silent_owner_without_a_lease_loses_them():
    assert await Vm().claims()


async def test_silence_must_last():
    assert not await Vm().claims(looks=1)


async def test_an_owner_that_is_cut_off_and_holds_its_lease_keeps_them():
    vm = Vm()
    vm.leases.held.add("vm/1")
    assert not await vm.claims(looks=5)


async def test_a_lease_of_a_later_process_does_not_count():
    vm = Vm()
    vm.leases.held.add("vm/2")
    assert await vm.claims()


async def test_an_owner_that_stops_is_followed_at_once():
    vm = Vm()
    vm.leases.held.add("vm/1")
    vm.hear(stopping=True)
    assert await vm.claims(looks=1)


async def test_an_owner_that_restarted_is_followed_at_once_by_itself_or_another():
    other = Vm()
    other.hear(incarnation=2)
    itself = Vm(vm_id="vm")
    itself.hear("b")
    claims = [await vm.claims(looks=1) for vm in (other, itself)]
    assert sorted(claims) == [False, True]


async def test_the_forerunner_under_the_same_name_is_followed_at_once():
    assert await Vm(vm_id="vm").claims(looks=1)


async def test_nothing_is_claimed_while_the_store_can_not_tell():
    vm = Vm()
    vm.leases.up = False
    await vm.takeover.look()
    vm.clock.advance(SILENT_MS)
    with pytest.raises(StoreRefused):
        await vm.takeover.look()
    assert vm.appends.is_empty


async def test_one_of_several_vms_claims():
    claimed = 0
    for vm_id in ("b", "c", "d"):
        vm = Vm(vm_id=vm_id)
        for other in {"b", "c", "d"} - {vm_id}:
            vm.hear(other)
        vm.hear("vm", stopping=True)
        claimed += await vm.claims(looks=1)
    assert claimed == 1


async def test_a_stopping_vm_claims_nothing():
    vm = Vm()
    await vm.takeover.stop()
    assert not await vm.claims()


@pytest.mark.parametrize(
    ("owner", "ended", "expected"),
    [
        pytest.param("b/9", False, 1, id="own-open"),
        pytest.param("b/9", True, 0, id="own-ended"),
        pytest.param("vm/1", False, 0, id="of-another"),
    ],
)
async def test_only_a_vm_with_open_submissions_needs_a_lease(owner, ended, expected):
    vm = Vm()
    vm.book.ledger.apply(msgspec.structs.replace(make_submitted("own"), owner=owner))
    if ended:
        vm.book.ledger.apply(Ended(submission_id="own"))
    for _ in range(2):
        await vm.takeover.renew()
    assert vm.leases.renewals == expected
