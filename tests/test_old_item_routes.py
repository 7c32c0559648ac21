"""Items of a VM that may not have heard of the newest routes."""

import pytest

from foxtailbank.address import Address
from foxtailbank.fleet.configuration_reading import ConfigurationReading, version_mark
from foxtailbank.submissions.item_holds import Hold
from foxtailbank.submissions.submission_routes import MAX_CONFIGURATION_AGE_MS
from item_vm import BURST_MS, ItemVm, success
from serving_fakes import FakeResponse, make_report, make_routes
from test_submission_routes import batch_route

pytestmark = pytest.mark.anyio
OLD_MS = MAX_CONFIGURATION_AGE_MS + 1
VERSION = 5
ADDRESS = Address(ip="127.0.0.1", port=9)
WAIT_MS = 1_000


def old_vm(*script, age_ms, readings=(), **changes):
    """Return a VM with an item; peers report what they have read just now."""
    vm = ItemVm(*script)
    vm.routes.apply(make_routes(batch_route(**changes), version=VERSION))
    vm.routes.set_age_source(lambda: age_ms)
    for number, (version, peer_age_ms) in enumerate(readings, start=2):
        reading = ConfigurationReading(mark=version_mark(version), age_ms=peer_age_ms)
        report = make_report(f"vm{number}", configuration=reading)
        vm.peers.on_report(report, ADDRESS, vm.clock.now_ms())
    vm.submit()
    return vm


# Guards against items that start on a route that was removed or moved, at a VM that the
# store turns away; and against a VM that idles though its peers still read its version.
@pytest.mark.parametrize(
    ("age_ms", "readings", "starts"),
    [
        pytest.param(0, (), True, id="recent"),
        pytest.param(MAX_CONFIGURATION_AGE_MS, (), True, id="just-recent"),
        pytest.param(0, [(VERSION + 1, 0)], True, id="recent-and-a-peer-is-ahead"),
        pytest.param(OLD_MS, (), False, id="old"),
        pytest.param(None, (), False, id="never-read"),
        pytest.param(OLD_MS, [(VERSION, 0)], True, id="a-peer-reads-it"),
        pytest.param(None, [(VERSION, 0)], True, id="only-a-peer-reads-it"),
        pytest.param(OLD_MS, [(VERSION, OLD_MS)], True, id="the-store-is-away"),
        pytest.param(OLD_MS, [(VERSION + 1, 0)], False, id="a-peer-is-ahead"),
        pytest.param(OLD_MS, [(VERSION - 1, 0)], False, id="a-peer-is-behind"),
        pytest.param(
            OLD_MS, [(VERSION + 1, 0), (VERSION, 0)], True, id="a-peer-read-it-before"
        ),
    ],
)
async def test_items_start_by_a_recent_configuration(age_ms, readings, starts):
    vm = old_vm(success(), age_ms=age_ms, readings=readings)
    async with vm.running():
        await vm.pass_time(WAIT_MS, until=vm.results)
    assert len(vm.client.sent) == starts
    assert vm.runner.hold is (None if starts else Hold.CONFIGURATION_OLD)


# Guards against items that go on to start by what a peer has read long ago.
async def test_what_a_peer_has_read_grows_old():
    refusals = [FakeResponse(status=503, not_run=True)] * 100
    vm = old_vm(*refusals, age_ms=OLD_MS, readings=[(VERSION, 0)])
    async with vm.running():
        await vm.pass_time(MAX_CONFIGURATION_AGE_MS)
        sent_count = len(vm.client.sent)
        await vm.pass_time(MAX_CONFIGURATION_AGE_MS)
    assert sent_count > 1
    assert len(vm.client.sent) == sent_count


# Guards against items that start by a report that waited while this VM stood still.
@pytest.mark.parametrize(("waited_ms", "starts"), [(OLD_MS, False), (0, True)])
async def test_a_report_that_waited_is_as_old_as_its_wait(waited_ms, starts):
    vm = old_vm(success(), age_ms=OLD_MS)
    vm.clock.advance(OLD_MS)
    reading = ConfigurationReading(mark=version_mark(VERSION), age_ms=0)
    now_ms = vm.clock.now_ms()
    vm.peers.on_report(
        make_report("vm2", configuration=reading),
        ADDRESS,
        now_ms,
        arrived_ms=now_ms - waited_ms,
    )
    async with vm.running():
        await vm.pass_time(WAIT_MS, until=vm.results)
    assert len(vm.client.sent) == starts


# Guards against items that are given up by fewer attempts, or a shorter retention, than
# the newest configuration allows.
@pytest.mark.parametrize("changes", [{"max_attempts": 1}, {"give_up_ms": 1}])
async def test_items_are_given_up_by_a_recent_configuration(changes):
    vm = old_vm(FakeResponse(status=500), success(), age_ms=0, **changes)
    vm.client.on_send = lambda: vm.routes.set_age_source(lambda: OLD_MS)
    async with vm.running():
        await vm.pass_time(BURST_MS)
        assert vm.results() == []
        vm.routes.apply(make_routes(batch_route(max_attempts=2), version=VERSION + 1))
        vm.client.on_send = lambda: None
        vm.routes.set_age_source(lambda: 0)
        await vm.pass_time(BURST_MS, until=vm.results)
    assert [result.completed for result in vm.results()] == [True]
