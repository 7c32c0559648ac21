"""Cells of a zone: all VMs form the same ones and divide the workers among them."""

import random

import pytest

from burst_fleet import SimVm
from foxtailbank.address import parse_address
from foxtailbank.clock import MS_PER_S, ManualClock
from foxtailbank.fleet.load_table import LoadKind, PeerLoad, WorkerLoad
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.report_cells import CELL_VMS, Cell, find_cell, workers_of
from foxtailbank.fleet.report_intervals import (
    SMALL_GROUP,
    PeerGroup,
    idle_interval_ms,
    min_interval_ms,
    send_interval_ms,
    silence_timeout_ms,
)
from serving_fakes import make_report, make_worker

MAX_REPORTS_PER_S = 200  # sent by one VM of a large fleet, as without cells


@pytest.mark.parametrize("vms", [1, SMALL_GROUP + 1, SMALL_GROUP + 2, 26, 65])
@pytest.mark.parametrize("workers", [0, 1, 4, 17])
def test_cells_divide_vms_and_workers_alike_for_all(vms, workers):
    vm_ids = [f"vm{n}" for n in range(vms)]
    listed = [make_worker(f"w{n}") for n in range(workers)]
    cells = {vm_id: find_cell(vm_id, vm_ids) for vm_id in vm_ids}
    for vm_id, cell in cells.items():
        assert vm_id in cell.vm_ids
        assert all(cells[other] == cell for other in cell.vm_ids)
        assert len(cell.vm_ids) <= CELL_VMS
    parts = [workers_of(cell, listed) for cell in set(cells.values())]
    sizes = [len(part) for part in parts]
    assert {worker for part in parts for worker in part} == set(listed)
    assert max(sizes) - min(sizes) <= 1
    if workers >= len(parts):
        assert sum(sizes) == workers
    assert len(parts) == 1 or vms > SMALL_GROUP + 1


# Guards against VMs that spend their processor on reports.
@pytest.mark.parametrize(("near", "far"), [(14, 44), (15, 47), (23, 47), (25, 51)])
def test_reports_of_a_vm_with_a_cell_are_few(near, far):
    cell = find_cell("me", [f"vm{n}" for n in range(near)])
    in_cell = len(cell.vm_ids) - 1
    peers_by_group = {
        PeerGroup.CELL: in_cell,
        PeerGroup.NEAR: near - in_cell,
        PeerGroup.FAR: far,
    }
    per_s = sum(
        peers * MS_PER_S / send_interval_ms(group, peers, is_split=True)
        for group, peers in peers_by_group.items()
    )
    assert per_s <= MAX_REPORTS_PER_S


# Guards against peers that count as lost while two VMs form different cells.
@pytest.mark.parametrize("near", [SMALL_GROUP + 1, 25, 31, 64])
def test_no_group_waits_longer_than_the_silence_timeout(near):
    cell = find_cell("me", [f"vm{n}" for n in range(near)])
    in_cell = len(cell.vm_ids) - 1
    for group, peers in ((PeerGroup.CELL, in_cell), (PeerGroup.NEAR, near - in_cell)):
        interval_ms = send_interval_ms(group, peers, is_split=True)
        longest_ms = max(interval_ms, idle_interval_ms(peers))
        assert 2 * longest_ms < silence_timeout_ms(near)


@pytest.mark.parametrize("near", [SMALL_GROUP, SMALL_GROUP + 1])
def test_only_a_large_zone_has_a_group_of_its_cell(near):
    table = PeerTable(vm_id="me", zone="z1")
    address = parse_address("127.0.0.1:9")
    for number in range(near):
        table.on_report(make_report(f"vm{number}", zone="z1"), address, 0)
    table.on_report(make_report("other", zone="z2"), address, 0)
    cell = table.update_cell(0)
    sizes = {group: len(table.target_addresses(group, 0)) for group in PeerGroup}
    in_cell = len(cell.vm_ids) - 1 if cell.count > 1 else 0
    assert sizes == {
        PeerGroup.CELL: in_cell,
        PeerGroup.NEAR: near - in_cell,
        PeerGroup.FAR: 1,
    }
    assert (in_cell > 0) is (near > SMALL_GROUP)
    assert len(table.alive(0)) == near + 1


@pytest.mark.parametrize("group", PeerGroup)
def test_intervals_of_small_fleets_are_as_before(group):
    for peers in range(SMALL_GROUP + 1):
        assert send_interval_ms(group, peers, is_split=False) == min_interval_ms(peers)


# Guards against VMs that take calm times for bursts once their zone is split: its other
# VMs count with those of the cell.
@pytest.mark.parametrize(
    ("in_cell", "near"),
    [pytest.param(0, 8, id="whole"), pytest.param(5, 3, id="split")],
)
def test_the_load_of_a_zone_is_measured_against_all_its_vms(in_cell, near):
    vm = SimVm(
        vm_id="vm0",
        zone="z1",
        workers=[make_worker("w1", zone="z1"), make_worker("w2", zone="z2")],
        clock=ManualClock(start_ms=1_000),
        rng=random.Random(1),
        customers=(),
        peers={PeerGroup.CELL: in_cell, PeerGroup.NEAR: near, PeerGroup.FAR: 18},
    )
    for _ in range(4):
        vm.fleet.loads.start("w2", LoadKind.ONLINE)
    workers = vm.fleet.workers.usable("s")
    slots = sum(worker.slots for worker in workers)
    share = vm.fleet.view.zone_online_share(workers, 1_000)
    assert share == 4 * 27 / (slots * 9)


# Guards against bursts that a VM notices only when the other cells of its zone report.
def test_a_burst_is_noticed_by_the_reports_of_the_cell():
    clock = ManualClock(start_ms=1_000)
    vm_ids = [f"vm{n}" for n in range(9)]
    vm = SimVm(
        vm_id="vm0",
        zone="z1",
        workers=[make_worker(f"w{n}", zone=f"z{n}", slots=90) for n in range(1, 4)],
        clock=clock,
        rng=random.Random(1),
        customers=(),
        peers={PeerGroup.CELL: 5, PeerGroup.NEAR: 3, PeerGroup.FAR: 18},
    )
    vm.fleet.tiers.set_cell(Cell(index=0, count=2, vm_ids=frozenset(vm_ids[:6])))

    def is_burst_on(reporting, online):
        load = {"w2": WorkerLoad(online=online)}
        for vm_id in reporting:
            zone = "z1" if vm_id in vm_ids else "z2"
            peer = PeerLoad(vm_id=vm_id, incarnation=1, load_by_worker=load, zone=zone)
            vm.fleet.loads.on_report(peer, clock.now_ms())
        clock.advance(100)
        usable = vm.fleet.workers.usable_by_service()
        vm.capacity.observe_online_load(usable, clock.now_ms())
        return vm.capacity._reserve.is_burst_on("s")

    all_vm_ids = [*vm_ids[1:], *(f"far{n}" for n in range(18))]
    for online in (2, 9, 2):
        seen = [is_burst_on(all_vm_ids, online) for _ in range(30)]
        assert seen[-1] is (online == 9)
    assert is_burst_on(vm_ids[1:6], 4)
