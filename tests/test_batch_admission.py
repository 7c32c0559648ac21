import pytest

from entry_samples import make_entry
from foxtailbank.admission import Admission
from foxtailbank.batch_admission import BatchAdmission
from foxtailbank.clock import ManualClock
from foxtailbank.entry import EntryLimits, WorkClass
from foxtailbank.limit_shares import LimitShares


def make(limits):
    entry = make_entry("notices", work_class=WorkClass.BATCH, limits=limits)
    clock = ManualClock()
    admission = Admission()
    share = LimitShares(vm_id="a", zone="z").share_of(entry)
    admission.set_share("entry:notices", share, clock.now_ms())
    return entry, clock, BatchAdmission(clock=clock, admission=admission)


CASES = [
    # limits, items that start at once, further items that start a second later
    (EntryLimits(concurrency=3, requests_per_s=100.0), 3, 0),
    (EntryLimits(concurrency=100, requests_per_s=2.0), 2, 2),
]


@pytest.mark.parametrize("limits, at_once, later", CASES)
def test_items_start_within_the_limits_of_their_entry(limits, at_once, later):
    entry, clock, admission = make(limits)
    started = [admission.admit(entry) for _ in range(10)]
    assert sum(admit is not None for admit in started) == at_once
    assert admission.is_throttled("notices")
    assert not admission.is_throttled("others")
    clock.advance(1_000)
    assert not admission.is_throttled("notices")
    started = [admission.admit(entry) for _ in range(10)]
    assert sum(admit is not None for admit in started) == later


def test_ended_item_frees_its_slot():
    entry, clock, admission = make(EntryLimits(concurrency=1))
    first = admission.admit(entry)
    assert admission.admit(entry) is None
    admission.release(first)
    clock.advance(60_000)
    assert admission.admit(entry) is not None
