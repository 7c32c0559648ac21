"""Takeover of submissions from VMs that crash, stop, restart or are cut off."""

import anyio
import msgspec
import pytest

from fake_leases import FakeLeases
from foxtailbank import rendezvous
from foxtailbank.address import parse_address
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.keyed_log import StoreRefused
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.records import Ended
from foxtailbank.submissions.submission_table import SubmissionTable
from foxtailbank.submissions.takeover import (
    MAX_CLAIMS_WHILE_RESTORING,
    SILENCE_GRACE_MS,
    STARTUP_GRACE_MS,
    Takeover,
)
from serving_fakes import (
    FakeKeyedLog,
    make_follower,
    make_logs,
    make_report,
    manual_clock,
)
from test_submission_ledger import make_submitted

pytestmark = pytest.mark.anyio
WAIT_S = 10


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Vm:
    """A VM with a submission that is owned by process ``vm/1``."""

    def __init__(self, vm_id="b", *, has_caught_up=True):
        self.clock = manual_clock()
        self.book = SubmissionTable(logs=make_logs())
        self.book.ledger.apply(make_submitted())
        self.peers = PeerTable(vm_id=vm_id, zone="z1")
        self.leases = FakeLeases()
        log = self.log = FakeKeyedLog()
        self.follower = make_follower(
            log, self.book, self.clock, has_caught_up=has_caught_up
        )
        self.appends = AppendQueue(
            log=log,
            producer="b/1",
            call_bytes=1_000,
            logs=make_logs(),
            clock=self.clock,
        )
        self.takeover = Takeover(
            vm_id=vm_id,
            owner_id=f"{vm_id}/9",
            table=self.book,
            follower=self.follower,
            appends=self.appends,
            peers=self.peers,
            leases=self.leases,
            logs=make_logs(),
            clock=self.clock,
        )
        self.clock.advance(STARTUP_GRACE_MS)

    async def append_claims(self):
        """Append the queued claims; return the number of all claims."""
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(self.appends.run)
                while self.appends.waiting_bytes:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        return len(self.log.records)

    def receive_report(
        self, vm_id="vm", *, incarnation=1, stopping=False, restoring=False
    ):
        report = make_report(
            vm_id,
            incarnation=incarnation,
            sequence=self.clock.now_ms(),
            stopping=stopping,
            restoring=restoring,
        )
        self.peers.on_report(report, parse_address("127.0.0.1:1"), self.clock.now_ms())

    async def takes_over(self, *, checks=2, gap_ms=SILENCE_GRACE_MS):
        for _ in range(checks):
            await self.takeover.take_over_orphans()
            self.clock.advance(gap_ms)
        return not self.appends.is_empty


async def test_a_live_owner_keeps_its_items():
    vm = Vm()
    vm.receive_report()
    assert not await vm.takes_over(checks=1)


async def test_a_silent_owner_without_a_lease_loses_its_items():
    assert await Vm().takes_over()


async def test_an_owner_silent_only_briefly_keeps_its_items():
    assert not await Vm().takes_over(checks=1)


async def test_a_silent_owner_with_a_lease_keeps_its_items():
    vm = Vm()
    vm.leases.held.add("vm/1")
    assert not await vm.takes_over(checks=5)


async def test_a_lease_of_a_later_process_does_not_count():
    vm = Vm()
    vm.leases.held.add("vm/2")
    assert await vm.takes_over()


async def test_a_stopping_owner_is_replaced_at_once():
    vm = Vm()
    vm.leases.held.add("vm/1")
    vm.receive_report(stopping=True)
    assert await vm.takes_over(checks=1)


async def test_a_restarted_owner_is_replaced_at_once_by_itself_or_another():
    other = Vm()
    other.receive_report(incarnation=2)
    itself = Vm(vm_id="vm")
    itself.receive_report("b")
    taken_over = [await vm.takes_over(checks=1) for vm in (other, itself)]
    assert sorted(taken_over) == [False, True]


async def test_a_vm_replaces_its_own_earlier_process_at_once():
    assert await Vm(vm_id="vm").takes_over(checks=1)


async def test_nothing_is_taken_over_while_the_lease_store_is_unavailable():
    vm = Vm()
    vm.leases.up = False
    await vm.takeover.take_over_orphans()
    vm.clock.advance(SILENCE_GRACE_MS)
    with pytest.raises(StoreRefused):
        await vm.takeover.take_over_orphans()
    assert vm.appends.is_empty


async def test_exactly_one_of_several_vms_takes_over():
    takeovers = 0
    for vm_id in ("b", "c", "d"):
        vm = Vm(vm_id=vm_id)
        for other in {"b", "c", "d"} - {vm_id}:
            vm.receive_report(other)
        vm.receive_report("vm", stopping=True)
        takeovers += await vm.takes_over(checks=1)
    assert takeovers == 1


# Guards against submissions that wait for a successor that does not know them yet.
@pytest.mark.parametrize(
    ("has_caught_up", "restoring_peers", "expected"),
    [
        pytest.param(True, "", False, id="a-peer-comes-first"),
        pytest.param(True, "d", True, id="that-peer-has-no-state"),
        pytest.param(True, "cde", True, id="no-peer-has-state"),
        pytest.param(False, "cde", False, id="nobody-has-state"),
        pytest.param(False, "d", False, id="no-state-itself"),
    ],
)
async def test_only_a_vm_that_has_its_state_is_a_successor(
    monkeypatch, has_caught_up, restoring_peers, expected
):
    # The later its name in the alphabet, the rather a VM is chosen.
    monkeypatch.setattr(rendezvous, "score", lambda key, name: ord(name[0]))
    vm = Vm(has_caught_up=has_caught_up)
    for peer in {"d", *restoring_peers}:
        vm.receive_report(peer, restoring=peer in restoring_peers)
    vm.receive_report("vm", stopping=True)
    assert await vm.takes_over(checks=1) is expected


async def test_a_peer_that_got_its_state_is_a_successor_again(monkeypatch):
    monkeypatch.setattr(rendezvous, "score", lambda key, name: ord(name[0]))
    vm = Vm()
    vm.receive_report("d", restoring=True)
    vm.clock.advance(1)
    vm.receive_report("d")
    vm.receive_report("vm", stopping=True)
    assert not await vm.takes_over(checks=1)


# Guards against processor time in each check for all open submissions and peers.
@pytest.mark.parametrize(
    ("report", "checks", "is_scored"),
    [
        pytest.param({}, 1, False, id="alive"),
        pytest.param(None, 1, False, id="silent-within-grace"),
        pytest.param(None, 2, True, id="silent-past-grace"),
        pytest.param({"stopping": True}, 1, True, id="stopping"),
        pytest.param({"incarnation": 2}, 1, True, id="restarted"),
    ],
)
async def test_successors_are_chosen_only_for_missing_owners(
    monkeypatch, report, checks, is_scored
):
    scored_keys = []
    score = rendezvous.score

    def counting_score(key, name):
        scored_keys.append(key)
        return score(key, name)

    monkeypatch.setattr(rendezvous, "score", counting_score)
    vm = Vm()
    if report is not None:
        vm.receive_report(**report)
    await vm.takes_over(checks=checks)
    assert bool(scored_keys) is is_scored


async def test_a_stopping_vm_takes_nothing_over():
    vm = Vm()
    await vm.takeover.stop()
    assert not await vm.takes_over()


@pytest.mark.parametrize(
    ("owner", "ended", "expected"),
    [
        pytest.param("b/9", False, 1, id="own-open"),
        pytest.param("b/9", True, 0, id="own-ended"),
        pytest.param("vm/1", False, 0, id="of-another-process"),
    ],
)
async def test_only_a_vm_with_open_submissions_needs_a_lease(owner, ended, expected):
    vm = Vm()
    vm.book.ledger.apply(msgspec.structs.replace(make_submitted("own"), owner=owner))
    if ended:
        vm.book.ledger.apply(Ended(submission_id="own"))
    for _ in range(2):
        await vm.takeover.renew_lease()
    assert vm.leases.renewals == expected


# Guards against the first VM that has its state taking over, and running, the items of
# the whole fleet after all VMs have restarted.
@pytest.mark.parametrize(
    ("restoring", "checks", "expected"),
    [
        pytest.param(True, 1, MAX_CLAIMS_WHILE_RESTORING, id="first-check"),
        pytest.param(True, 2, 2 * MAX_CLAIMS_WHILE_RESTORING, id="second-check"),
        pytest.param(True, 9, 3 * MAX_CLAIMS_WHILE_RESTORING, id="all-in-the-end"),
        pytest.param(False, 1, 3 * MAX_CLAIMS_WHILE_RESTORING, id="nobody-restoring"),
    ],
)
async def test_claims_are_spread_while_peers_are_restoring(
    monkeypatch, restoring, checks, expected
):
    monkeypatch.setattr(rendezvous, "score", lambda key, name: -ord(name[0]))
    vm = Vm()
    for number in range(2, 1 + 3 * MAX_CLAIMS_WHILE_RESTORING):
        owner = f"vm/{number % 3}"
        submitted = make_submitted(f"s{number}", limit=0)
        vm.book.ledger.apply(msgspec.structs.replace(submitted, owner=owner))
    vm.receive_report("vm", incarnation=9)
    vm.receive_report("c", restoring=restoring)
    await vm.takes_over(checks=checks, gap_ms=1)
    assert await vm.append_claims() == expected
