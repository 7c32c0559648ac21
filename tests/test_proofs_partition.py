"""Behaviour of each side under cut links, stalled links and frozen VMs."""

import concurrent.futures
import time

import httpx
import pytest

from fleet_process import (
    ADMIN_HEADERS,
    ZONES,
    Fleet,
    RelayedLauncher,
    running_fleet,
    slow_endpoints,
)
from foxtailbank_bench.demo_catalogue import demo_entries

DEADLINE_S = 2.0
TIMING = (
    ("drain_notice_ms", 200),
    ("batch_view_ms", 2_000),
    ("first_chunk_timeout_ms", 4_000),
    ("log_append_timeout_ms", 10_000),
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(
        tmp_path_factory.mktemp("fleet"),
        launcher_type=RelayedLauncher,
        endpoints=slow_endpoints(count=2),
        timing=TIMING,
    ) as launcher:
        yield Fleet(launcher)


@pytest.fixture(autouse=True)
def restore_links(fleet):
    """Restore all links after each test and wait until every VM has caught up."""
    yield
    fleet.launcher.faults("relay", mode="pass", delay_ms=0)
    wait_for_same_catalogue(fleet)


def catalogue(fleet, vm):
    response = fleet.client.get(
        fleet.url(vm, "/admin/catalogue"), headers=ADMIN_HEADERS
    )
    return response.json()


def wait_for_same_catalogue(fleet):
    """Wait until the catalogue is the same on every VM."""
    fleet.wait(lambda: _has_same_catalogue(fleet))


def _has_same_catalogue(fleet):
    first, *others = [catalogue(fleet, vm) for vm in range(3)]
    return all(other == first for other in others)


def put_entry(fleet, vm, name, limit, based_on):
    entry = demo_entries()["tributes"] | {"limits": {"max_tokens": limit}}
    entry |= {"model": name}
    url = fleet.url(vm, f"/admin/catalogue/{name}")
    body = {"entry": entry, "based_on": based_on}
    return fleet.client.put(url, json=body, headers=ADMIN_HEADERS)


def limit_of(fleet, vm, name):
    url = fleet.url(vm, f"/admin/catalogue/{name}")
    response = fleet.client.get(url, headers=ADMIN_HEADERS)
    if response.status_code != 200:
        return None
    return response.json()["entry"]["limits"]["max_tokens"]


def other_vms(fleet, vm):
    names = [spec.name for spec in fleet.entries]
    return [name for name in names if name != fleet.name(vm)]


def cut_links(fleet, vm, *targets, mode="cut"):
    fleet.launcher.set_links([fleet.name(vm)], targets, mode)


def test_racing_edits_have_one_winner_and_typed_conflicts(fleet):
    for turn in range(5):
        name = f"race-{turn}"
        with concurrent.futures.ThreadPoolExecutor() as pool:
            edits = [
                pool.submit(put_entry, fleet, vm, name, 100 + vm, 0) for vm in range(3)
            ]
            responses = [edit.result() for edit in edits]
        statuses = sorted(response.status_code for response in responses)
        assert statuses == [200, 409, 409]
        winner = next(vm for vm in range(3) if responses[vm].status_code == 200)
        for vm in range(3):
            fleet.wait(lambda vm=vm, name=name: limit_of(fleet, vm, name) is not None)
            assert limit_of(fleet, vm, name) == 100 + winner


def test_vm_cut_off_from_the_platform_follows_edits_through_its_peers(fleet):
    cut_links(fleet, 2, "platform")
    first = put_entry(fleet, 0, "followed", 50, 0).json()["version"]
    fleet.wait(lambda: limit_of(fleet, 2, "followed") == 50)
    fleet.wait(lambda: limit_of(fleet, 1, "followed") == 50)
    assert put_entry(fleet, 1, "followed", 60, first).status_code == 200
    fleet.wait(lambda: limit_of(fleet, 2, "followed") == 60)
    assert put_entry(fleet, 0, "followed", 70, first).status_code == 409
    fleet.launcher.faults("relay", mode="pass")
    fleet.kill(fleet.name(2))
    fleet.restart(2)
    fleet.wait(lambda: limit_of(fleet, 2, "followed") == 60)
    assert [limit_of(fleet, vm, "followed") for vm in range(3)] == [60] * 3


def test_vm_cut_off_from_all_starts_no_batch_item_and_serves_online(fleet):
    # Large enough that a VM that wrongly went on with input it has read ahead
    # would keep the engines busy beyond the wait's time limit.
    count = 3_000
    job_id = fleet.submit(0, count=count, tokens=200).json()["id"]
    fleet.wait(lambda: len(fleet.requests_with_prefix(job_id)) > 8)
    # With every VM cut off from the platform and from the other VMs, none can
    # learn of a cancellation.
    for vm in range(3):
        cut_links(fleet, vm, "platform", *other_vms(fleet, vm))
    started_counts = [-1]

    def is_stopped():
        running = [
            e for e in fleet.requests_with_prefix(job_id) if e["outcome"] == "running"
        ]
        started_counts.append(len(fleet.requests_with_prefix(job_id)))
        return started_counts[-1] == started_counts[-2] and not running

    fleet.wait(is_stopped)
    for vm in range(3):
        for turn in range(8):
            response = fleet.complete(vm, f"Alone {turn}", tokens=20)
            assert response.status_code == 200
    assert len(fleet.requests_with_prefix(job_id)) == started_counts[-1] < count
    fleet.launcher.faults("relay", mode="pass")
    fleet.wait(lambda: len(fleet.requests_with_prefix(job_id)) > started_counts[-1])
    assert fleet.cancel(0, job_id)["status"] == "cancelled"
    for vm in range(3):
        fleet.wait_job(vm, job_id, "cancelled")


def test_cut_zone_serves_online_and_batch_ends_exactly_once_after_healing(fleet):
    count = 300
    job_id = fleet.submit(0, count=count, tokens=10).json()["id"]
    fleet.wait(lambda: fleet.requests_with_prefix(job_id))
    zone_b = [s.name for s in fleet.entries if s.zone == ZONES[1]]
    endpoints = fleet.launcher.deployment.endpoints
    zone_a = [s.name for s in (*fleet.entries, *endpoints) if s.zone == ZONES[0]]
    for targets in (zone_a, [*zone_a, "platform"]):
        fleet.launcher.set_links(zone_b, targets, "cut")
        edited = put_entry(fleet, 0, f"cut-{len(targets)}", 10, 0)
        assert edited.status_code == 200
        for vm in range(3):
            fleet.wait(lambda vm=vm: fleet.complete(vm, "Cut").status_code == 200)
            assert fleet.complete(vm, "Cut zone").status_code == 200
    fleet.launcher.faults("relay", mode="pass")
    for vm in range(3):
        fleet.wait_job(vm, job_id)
    lines = [fleet.assert_each_item_once(vm, job_id, count) for vm in range(3)]
    assert lines[0] == lines[1] == lines[2]


@pytest.mark.parametrize("where", ["engine", "link"])
def test_streams_of_stalled_connections_are_resumed(fleet, where):
    tokens = 100
    expected = fleet.expected_streams("Stalled", count=4, tokens=tokens)
    prefix = f"stalled-{where}-"
    with fleet.running_streams(
        "Stalled", count=4, tokens=tokens, prefix=prefix
    ) as streams:
        engines = {entry["endpoint"] for entry in fleet.requests_with_prefix(prefix)}
        if where == "engine":
            for name in engines:
                fleet.launcher.faults(name, stall_open=True)
        else:
            names = [spec.name for spec in fleet.entries]
            fleet.launcher.set_links(names, engines, "stall")
            fleet.launcher.set_links(names, engines, "pass")
        assert [stream.result() for stream in streams] == expected
    assert [entry for entry in fleet.requests_with_prefix(prefix) if entry["resume_at"]]


def test_claimant_frozen_between_claim_and_dispatch_runs_nothing_late(fleet):
    before = len(fleet.bookings())
    url = f"http://{fleet.launcher.address('platform')}/streams/ledger"

    def ledger_end():
        return httpx.get(url).json()["end"]

    # Peers would forward the claim record, so the links to them are cut as well.
    cut_links(fleet, 0, *other_vms(fleet, 0))
    link = f"{fleet.name(0)}>platform"
    fleet.launcher.faults("relay", link=link, delay_ms=600)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        end_before = ledger_end()
        deadline = time.monotonic() + DEADLINE_S
        headers = {"x-deadline-ms": str(int(DEADLINE_S * 1_000))}
        call = pool.submit(fleet.create_booking, 0, {"n": 1}, key="frozen", **headers)
        # The claim is appended, and the log's response is still on its way.
        fleet.wait(lambda: ledger_end() > end_before)
        fleet.pause(0)
        try:
            assert len(fleet.bookings()) == before
            for vm in (1, 2):
                response = fleet.create_booking(vm, {"n": 1}, key="frozen")
                assert response.json()["error"]["ran"] == "unknown"
            fleet.wait(lambda: time.monotonic() > deadline)
        finally:
            fleet.resume(0)
        assert call.result().json()["error"]["ran"] == "no"
    assert len(fleet.bookings()) == before
    fleet.launcher.faults("relay", mode="pass", delay_ms=0)
    # The claim was released, so a resent call runs, and only once.
    fleet.wait(
        lambda: fleet.create_booking(1, {"n": 1}, key="frozen").status_code == 201
    )
    assert fleet.create_booking(2, {"n": 1}, key="frozen").status_code == 201
    assert len(fleet.bookings()) == before + 1


def test_fresh_vm_without_a_platform_takes_state_from_a_peer_or_is_not_ready(fleet):
    assert put_entry(fleet, 0, "fresh", 77, 0).status_code == 200
    fleet.kill(fleet.name(2))
    cut_links(fleet, 2, "platform", *other_vms(fleet, 2))
    fleet.launcher.start_entry(fleet.entries[2])
    url = fleet.url(2, "/healthz")
    fleet.wait(lambda: _status(url) == 200)
    ready = fleet.url(2, "/readyz")
    assert {_status(ready) for _ in range(20)} == {503}
    cut_links(fleet, 2, *other_vms(fleet, 2), mode="pass")
    fleet.wait(lambda: limit_of(fleet, 2, "fresh") == 77)
    fleet.wait(lambda: _status(ready) == 200)
    fleet.wait(lambda: fleet.complete(2, "Fresh").status_code == 200)


def _status(url):
    try:
        return httpx.get(url).status_code
    except httpx.TransportError:
        return None
