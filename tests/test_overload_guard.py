import dataclasses

import pytest

from entry_samples import make_entry
from foxtailbank.clock import ManualClock
from foxtailbank.endpoint import LoadReport
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.entry import EntryKind
from foxtailbank.exceptions import Overloaded, Ran
from foxtailbank.overload_guard import OverloadGuard
from foxtailbank.quarantine import Fingerprint
from foxtailbank.vm_list import Vm, VmRole
from foxtailbank.work import Work

ENTRY = make_entry()
WORK = Work(
    request_id="r",
    entry=ENTRY,
    method="POST",
    path="/v1/completions",
    headers=(),
    body=b"",
    streamed=True,
    batch=False,
    idempotent=True,
    fingerprint=Fingerprint(owner="mwangaza", digest="d"),
    prefix_digest=0,
    max_tokens=8,
    deadline_at_ms=60_000,
)
CASES = [
    # own in flight, queued at the engine, in flight from other VMs, refused
    (0, 0, 0, False),
    (7, 0, 0, False),
    (7, 0, 100, False),
    (20, 0, 0, True),
    (7, 4, 100, True),
]


def make_guard(*, own, waiting, remote, reports=True):
    directory = EndpointDirectory(factory=lambda vm: None)
    vm = Vm(
        vm_id="e", role=VmRole.ENGINE, zone="a", address="127.0.0.1:1", pool="wordsmith"
    )
    directory.apply([vm], 0)
    backend = directory.backends_by_id["e"]
    backend.online_in_flight = own
    if reports:
        report = LoadReport(
            age_ms=0,
            running=8,
            waiting=waiting,
            max_running=8,
            step_ms=20.0,
            draining=False,
        )
        backend.on_load_report(report, 0)
    guard = OverloadGuard(
        clock=ManualClock(),
        directory=directory,
        online_elsewhere=lambda pool: remote,
    )
    return guard, backend


@pytest.mark.parametrize("own, waiting, remote, refused", CASES)
def test_a_call_is_refused_only_when_engines_are_full(own, waiting, remote, refused):
    guard, _ = make_guard(own=own, waiting=waiting, remote=remote)
    if not refused:
        assert guard.check(WORK) >= 0
        return
    with pytest.raises(Overloaded) as caught:
        guard.check(WORK)
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_ms > 0


def test_services_are_not_checked_for_overload():
    guard, _ = make_guard(own=100, waiting=9, remote=100)
    entry = dataclasses.replace(ENTRY, kind=EntryKind.SERVICE)
    assert guard.check(dataclasses.replace(WORK, entry=entry)) == 0


def test_no_refusal_without_healthy_endpoints():
    guard, backend = make_guard(own=0, waiting=0, remote=0)
    backend.breaker.on_death(0)
    assert guard.check(WORK) == 0
