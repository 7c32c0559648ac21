"""Rates of load reports among many entry VMs that share workers."""

import pytest

from foxtailbank.address import parse_address
from foxtailbank.clock import MS_PER_S
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.report_intervals import (
    LARGE_GROUP,
    PeerGroup,
    idle_interval_ms,
    min_interval_ms,
    read_pause_ms,
    silence_timeout_ms,
)
from foxtailbank.fleet.zone_reachability import MIN_SILENCE_MS
from serving_fakes import make_report

MAX_SMALL_FLEET_INTERVAL_MS = 25
MAX_REPORTS_PER_S = 1_000  # sent by one VM; costs a few per cent of a core
MAX_REPORTS_OF_LARGE_FLEET_PER_S = 200  # one per cent of the smallest VM


@pytest.mark.parametrize("peers", [0, 1, 3, 10])
def test_small_fleets_report_changes_at_short_intervals(peers):
    assert min_interval_ms(peers) <= MAX_SMALL_FLEET_INTERVAL_MS


@pytest.mark.parametrize(("near", "far"), [(3, 6), (9, 20), (24, 47), (70, 140)])
def test_reports_of_one_vm_are_bounded(near, far):
    per_s = sum(MS_PER_S / min_interval_ms(peers) * peers for peers in (near, far))
    assert per_s <= MAX_REPORTS_PER_S


@pytest.mark.parametrize(("near", "far"), [(14, 44), (23, 47)])
def test_reports_of_a_vm_in_a_large_fleet_are_few(near, far):
    per_s = sum(MS_PER_S / min_interval_ms(peers) * peers for peers in (near, far))
    assert per_s <= MAX_REPORTS_OF_LARGE_FLEET_PER_S


@pytest.mark.parametrize("peers", [0, 3, 8])
def test_reports_of_a_small_group_are_read_immediately(peers):
    assert read_pause_ms(peers) == 0


@pytest.mark.parametrize("peers", [15, 23, 40, 1_000])
def test_reports_of_many_peers_are_read_in_batches(peers):
    reports_per_s = peers * MS_PER_S / min_interval_ms(peers)
    reads_per_s = MS_PER_S / read_pause_ms(peers)
    assert reads_per_s <= reports_per_s / 2
    assert read_pause_ms(peers) <= min_interval_ms(peers) / 2


@pytest.mark.parametrize("peers", [0, 10, 1_000])
def test_report_intervals_stay_below_the_silence_timeout(peers):
    assert 2 * min_interval_ms(peers) < silence_timeout_ms(peers)
    assert 2 * idle_interval_ms(peers) < silence_timeout_ms(peers)


def test_idle_vms_report_before_their_zone_counts_as_unreachable():
    assert idle_interval_ms(LARGE_GROUP) < MIN_SILENCE_MS


def test_peers_are_grouped_by_the_zone_that_they_report():
    table = PeerTable(vm_id="me", zone="z1")
    for vm_id, zone in (("a", "z1"), ("b", "z2")):
        report = make_report(vm_id, zone=zone)
        assert table.on_report(
            report, parse_address(f"127.0.0.1:{len(vm_id + zone)}"), 0
        )
    table.add_address("c", parse_address("127.0.0.3:9"), 0)
    assert len(table.target_addresses(PeerGroup.NEAR, 0)) == 1
    assert len(table.target_addresses(PeerGroup.FAR, 0)) == 2
