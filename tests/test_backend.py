import pytest

from foxtailbank.backend import Backend
from foxtailbank.drain import DrainSource
from foxtailbank.endpoint import LoadReport
from foxtailbank.vm_list import Vm, VmRole


def make_backend():
    vm = Vm(vm_id="e1", role=VmRole.ENGINE, zone="a", address="127.0.0.1:1", pool="m")
    return Backend(vm=vm, service=None)


def report(*, running=0, waiting=0, draining=False):
    return LoadReport(
        age_ms=0,
        running=running,
        waiting=waiting,
        max_running=8,
        step_ms=20.0,
        draining=draining,
    )


LEAVING = [
    # whether the VM list, the endpoint and a peer report leaving; whether it gets work
    ((False, False, False), True),
    ((True, False, False), False),
    ((False, True, False), False),
    ((False, False, True), False),
    ((True, True, True), False),
]


@pytest.mark.parametrize("reports_leaving, gets_work", LEAVING)
def test_any_source_can_mark_an_endpoint_as_leaving(reports_leaving, gets_work):
    backend = make_backend()
    sources = (DrainSource.VM_LIST, DrainSource.ENDPOINT, DrainSource.PEER)
    for source, leaving in zip(sources, reports_leaving, strict=True):
        backend.update_drain_state(source, leaving, 0)
    assert backend.view(0).draining is not gets_work


def test_endpoint_that_cancels_its_drain_gets_work_again():
    backend = make_backend()
    backend.on_load_report(report(draining=True), 0)
    assert backend.view(1).draining
    backend.on_load_report(report(draining=False), 2)
    assert not backend.view(3).draining


def test_batch_streams_of_other_vms_do_not_count_as_load():
    backend = make_backend()
    backend.online_in_flight = 2
    backend.on_load_report(report(running=8), 0)
    assert backend.view(0).load == 2
    backend.on_load_report(report(running=8, waiting=3), 1)
    assert backend.view(1).load == 5
