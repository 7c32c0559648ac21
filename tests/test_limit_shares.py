import pytest

from entry_samples import make_entry
from foxtailbank.admission import Admission, Admitted
from foxtailbank.entry import EntryLimits
from foxtailbank.limit_shares import LimitShares

FLEETS = [1, 2, 3, 12, 340]
LIMITS = [(1, 1.0), (2, 0.5), (5, 7.0), (32, 50.0), (10_000, 2_200.0)]


def entry_with(concurrency, requests_per_s):
    limits = EntryLimits(concurrency=concurrency, requests_per_s=requests_per_s)
    return make_entry(limits=limits)


def fleet(count):
    return {f"entry-{n}": f"zone-{n % 16}" for n in range(count)}


def shares_of(entry, zones_by_id):
    for vm_id, zone in zones_by_id.items():
        shares = LimitShares(vm_id=vm_id, zone=zone)
        shares.set_vms(zones_by_id)
        yield shares.share_of(entry)


@pytest.mark.parametrize("count", FLEETS)
@pytest.mark.parametrize("concurrency, rate", LIMITS)
def test_shares_of_all_vms_add_up_to_the_limit(count, concurrency, rate):
    open_shares = [
        share
        for share in shares_of(entry_with(concurrency, rate), fleet(count))
        if not share.closed
    ]
    assert open_shares
    assert sum(share.concurrency for share in open_shares) <= concurrency
    total = sum(share.requests_milli_per_s for share in open_shares)
    assert total <= round(rate * 1_000)
    assert sum(share.requests_burst for share in open_shares) <= max(1, round(rate))


def test_share_of_a_removed_vm_goes_to_the_others():
    entry = entry_with(30, 30.0)
    shares = LimitShares(vm_id="entry-0", zone="zone-0")
    assert shares.set_vms(fleet(3))
    assert shares.share_of(entry).concurrency == 10
    assert not shares.set_vms(fleet(3))
    assert shares.set_vms(fleet(2))
    assert shares.share_of(entry).concurrency == 15


@pytest.mark.parametrize("count", [1, 3, 12])
def test_fleet_admits_no_more_at_once_than_the_limit(count):
    entry = entry_with(5, 1_000.0)
    admitted = 0
    for share in shares_of(entry, fleet(count)):
        admission = Admission()
        admission.set_share("entry:tributes", share, 0)
        for _ in range(20):
            result = admission.admit(keys=("entry:tributes",), tokens=1, now_ms=0)
            admitted += isinstance(result, Admitted)
            if not isinstance(result, Admitted):
                assert result.retry_after_ms > 0
    assert admitted == 5
