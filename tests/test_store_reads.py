"""Reads of one log by all VMs of a fleet, in simulated time."""

import pytest

from foxtailbank.read_share import MIN_READ_BYTES, ReadShare
from foxtailbank_bench.measure_store_reads import FleetSpec, play


# Guards against reads that are larger than the store can serve in time to all VMs: they
# were given up and sent again, and no VM kept up with the log any more.
@pytest.mark.parametrize(("vm_count", "record_bytes"), [(71, 20_000), (195, 7_000)])
def test_no_read_is_given_up_while_the_store_can_serve_the_log(vm_count, record_bytes):
    result = play(FleetSpec(vm_count=vm_count, record_bytes=record_bytes, duration_s=8))
    assert result.lost_calls == 0
    assert result.read_bytes < 1.1
    assert result.unread_after_drain == 0


# Guards against a log that is never read again once more was written than can be read.
def test_an_overload_leaves_no_reads_that_are_given_up():
    result = play(FleetSpec(vm_count=195, record_bytes=10_000, duration_s=6))
    assert result.lost_calls == 0
    assert result.unread_after_drain == 0


# Guards against results that all VMs read whole: more than the store can serve to all,
# so that VMs did not know of results that others had returned.
@pytest.mark.parametrize(
    ("vm_count", "items_per_s", "text_bytes"), [(195, 30, 12_000), (71, 86, 9_000)]
)
def test_results_of_a_large_fleet_are_known_to_all_within_a_second(
    vm_count, items_per_s, text_bytes
):
    result = play(
        FleetSpec(
            vm_count=vm_count,
            records_per_s=items_per_s,
            record_bytes=1_800,
            text_bytes=text_bytes,
            progress_bytes=6_500,
            duration_s=12,
        )
    )
    assert result.lost_calls == 0
    assert result.unread_at_end <= items_per_s


@pytest.mark.parametrize(
    ("store_rate", "link_rate", "vm_count", "read_bytes"),
    [
        (0.0, 0.0, 71, 1 << 20),
        (80e6, 0.0, 1, 1 << 20),
        (80e6, 4e6, 100, 120_000),
        (80e6, 1e6, 100, 75_000),
        (1.0, 0.0, 9, MIN_READ_BYTES),
    ],
)
def test_share_follows_the_rates_and_the_number_of_vms(
    store_rate, link_rate, vm_count, read_bytes
):
    share = ReadShare(store_bytes_per_s=store_rate, link_bytes_per_s=link_rate)
    share.set_vm_count(lambda: vm_count)
    assert share.read_bytes(1 << 20) == read_bytes
