"""Where outputs go, how they are read together, and what is held or saved."""

import pytest

from fake_texts import (
    LARGE_FLEET,
    SMALL_FLEET,
    make_budget,
    make_peers,
    make_share,
)
from foxtailbank.address import Address
from foxtailbank.fleet.peer_table import UNHEARD_MS, PeerTable
from foxtailbank.submissions.records import TextLocation
from foxtailbank.submissions.text_cache import TextCache
from foxtailbank.submissions.text_placement import MIN_APART_BYTES, TextPlacement
from foxtailbank.submissions.text_spans import MAX_SPAN_BYTES, plan_spans
from serving_fakes import make_report, manual_clock

TEXT_BYTES = 12_000


@pytest.mark.parametrize(
    ("vm_count", "size_bytes", "reads_texts", "is_apart"),
    [
        pytest.param(LARGE_FLEET, TEXT_BYTES, True, True, id="large-fleet"),
        pytest.param(71, 9_000, True, True, id="grown-fleet"),
        pytest.param(SMALL_FLEET, TEXT_BYTES, True, False, id="small-fleet"),
        pytest.param(LARGE_FLEET, TEXT_BYTES, False, False, id="one-earlier-release"),
        pytest.param(9_999, MIN_APART_BYTES - 1, True, False, id="small-text"),
        pytest.param(LARGE_FLEET, 0, True, False, id="no-text"),
    ],
)
def test_where_an_output_goes(vm_count, size_bytes, reads_texts, is_apart):
    clock = manual_clock()
    placement = TextPlacement(
        share=make_share(vm_count),
        peers=make_peers(clock, reads_texts=reads_texts),
        clock=clock,
    )
    assert placement.is_apart(size_bytes) == is_apart


# Guards against results that a VM of an earlier release lists without their text.
@pytest.mark.parametrize(
    ("is_complete", "report", "silent_ms", "all_read"),
    [
        pytest.param(False, {"reads_texts": True}, 0, False, id="addresses-not-read"),
        pytest.param(True, {"reads_texts": True}, 0, True, id="able"),
        pytest.param(True, {}, 0, False, id="earlier-release"),
        pytest.param(True, {}, 2 * UNHEARD_MS, False, id="earlier-release-silent"),
        pytest.param(True, {"stopping": True}, 0, False, id="stopping"),
        pytest.param(True, {"stopping": True}, 2 * UNHEARD_MS, True, id="stopped"),
        pytest.param(True, None, 0, False, id="not-heard-yet"),
        pytest.param(True, None, 2 * UNHEARD_MS, True, id="never-heard"),
    ],
)
def test_which_vms_know_the_log_of_texts(is_complete, report, silent_ms, all_read):
    peers = PeerTable(vm_id="vm1", zone="z1")
    peers.is_complete = is_complete
    address = Address(ip="127.0.0.1", port=9)
    peers.add_address("vm2", address, 0)
    if report is not None:
        peers.on_report(make_report("vm2", **report), address, 0)
    assert peers.all_read_texts(silent_ms) == all_read


@pytest.mark.parametrize(
    ("offsets", "size_bytes", "spans"),
    [
        ([], 9, []),
        ([3], MAX_SPAN_BYTES * 2, [[3]]),
        ([5, 3, 4, 7], 9, [[3, 4, 5], [7]]),
        ([1, 2, 3], MAX_SPAN_BYTES // 2 - 9, [[1, 2], [3]]),
    ],
)
def test_neighbours_are_read_together(offsets, size_bytes, spans):
    locations = [
        TextLocation(key="k", offset=n, size_bytes=size_bytes) for n in offsets
    ]
    found = plan_spans(locations)
    assert [[each.offset for each in span.locations] for span in found] == spans


def test_the_cache_is_bounded_and_keeps_what_was_used():
    cache = TextCache(max_bytes=4_000)
    for key in "abc":
        cache.put(key, "x" * 1_000)
        cache.get("a")
    cache.put("d", "x" * 1_000)
    assert [key for key in "abcd" if cache.get(key) is not None] == ["a", "c", "d"]


# Guards against saved progress that leaves the store too little time for results.
@pytest.mark.parametrize(
    ("vm_count", "bytes_per_s", "allows"),
    [
        (SMALL_FLEET, 3_000_000, True),
        (SMALL_FLEET, 3_600_000, False),
        (LARGE_FLEET, 190_000, True),
        (LARGE_FLEET, 220_000, False),
    ],
)
def test_progress_is_saved_within_a_share_of_the_store(vm_count, bytes_per_s, allows):
    clock = manual_clock()
    budget = make_budget(clock, vm_count)
    for _ in range(12):
        clock.advance(500)
        budget.on_read(bytes_per_s // 2)
    assert budget.allows_saving == allows
    clock.advance(3_000)
    assert budget.allows_saving
