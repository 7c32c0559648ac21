"""Batch jobs under faults: each item ends exactly once."""

import pytest

from fleet_process import Fleet, running_fleet, slow_endpoints

ITEMS = 40


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    with running_fleet(directory, endpoints=slow_endpoints(count=2)) as launcher:
        yield Fleet(launcher)


def test_job_survives_kill_of_the_vm_that_accepted_it(fleet):
    # Enough jobs that some have a chunk placed on the VM that is killed.
    keys = [f"killed-after-202-{number}" for number in range(8)]
    count = 16
    accepted = [fleet.submit(1, count=count, key=key) for key in keys]
    fleet.kill(fleet.name(1))
    assert {response.status_code for response in accepted} == {202}
    ids = [response.json()["id"] for response in accepted]
    resubmitted = [fleet.submit(2, count=count, key=key) for key in keys]
    assert {response.status_code for response in resubmitted} == {202}
    assert [response.json()["id"] for response in resubmitted] == ids
    lines = {}
    for job_id in ids:
        for vm in (0, 2):
            fleet.wait_job(vm, job_id)
        lines[job_id] = fleet.assert_each_item_once(0, job_id, count)
        assert fleet.results(2, job_id) == lines[job_id]
    fleet.restart(1)
    for key, job_id in zip(keys, ids, strict=True):
        fleet.wait_job(1, job_id)
        assert fleet.results(1, job_id) == lines[job_id]
        assert fleet.submit(1, count=count, key=key).json()["id"] == job_id


def test_streams_and_items_survive_the_death_of_their_engine(fleet):
    tokens = 120
    expected = fleet.expected_streams("Stream", count=6, tokens=tokens)
    job_id = fleet.submit(0, count=ITEMS).json()["id"]
    fleet.wait(lambda: fleet.requests_with_prefix(job_id))
    with fleet.running_streams(
        "Stream", count=6, tokens=tokens, prefix="death-"
    ) as streams:
        killed = fleet.requests_with_prefix(job_id)[0]["endpoint"]
        assert killed in {
            entry["endpoint"] for entry in fleet.requests_with_prefix("death-")
        }
        fleet.launcher.may_fail = (killed,)
        fleet.kill(killed)
        assert [stream.result() for stream in streams] == expected
    resumed = [e for e in fleet.requests_with_prefix("death-") if e["resume_at"]]
    assert resumed
    fleet.wait_job(0, job_id)
    fleet.assert_each_item_once(0, job_id, ITEMS)
    port = int(fleet.launcher.address(killed).rpartition(":")[2])
    spec = next(s for s in fleet.launcher.deployment.endpoints if s.name == killed)
    fleet.launcher.start_endpoint(spec, port=port)


def test_running_work_continues_during_log_outage(fleet):
    job_id = fleet.submit(0, count=ITEMS, tokens=40).json()["id"]
    fleet.wait(lambda: fleet.requests_with_prefix(job_id))
    bookings_before = len(fleet.bookings())
    fleet.set_platform_faults(log="down")
    started_before = len(fleet.requests_with_prefix(job_id))
    for vm in range(3):
        assert fleet.complete(vm, "Online without a log").status_code == 200
        url = fleet.url(vm, "/v1/services/contracts/contracts/17")
        assert fleet.client.get(url).status_code == 200
    refused = [fleet.create_booking(vm, {"n": vm}, key=f"down-{vm}") for vm in range(3)]
    refused += [fleet.submit(vm, count=2) for vm in range(3)]
    for response in refused:
        error = response.json()["error"]
        assert response.status_code == 503, error
        assert error["ran"] == "no", error
        assert error["retry_after_ms"] > 0, error
    assert len(fleet.bookings()) == bookings_before
    fleet.wait(lambda: len(fleet.requests_with_prefix(job_id)) > started_before)
    fleet.set_platform_faults(log="up", lose_answers=5)
    fleet.wait_job(0, job_id)
    for vm in range(3):
        fleet.wait_job(vm, job_id)
        fleet.assert_each_item_once(vm, job_id, ITEMS)


def test_slow_log_delays_jobs_and_not_callers(fleet):
    fleet.set_platform_faults(log="slow", delay_ms=300)
    try:
        job_id = fleet.submit(0, count=20).json()["id"]
        for vm in range(3):
            assert fleet.complete(vm, "Online beside a slow log").status_code == 200
        fleet.wait_job(2, job_id)
        fleet.assert_each_item_once(2, job_id, 20)
    finally:
        fleet.set_platform_faults(log="up")


def test_cancelled_job_starts_no_more_items_and_reports_cancelled(fleet):
    count = 400
    job_id = fleet.submit(0, count=count, tokens=60).json()["id"]
    fleet.wait(lambda: len(fleet.requests_with_prefix(job_id)) >= 4)
    assert fleet.cancel(1, job_id)["status"] == "cancelled"
    for vm in range(3):
        fleet.wait_job(vm, job_id, "cancelled")
    reached = len(fleet.requests_with_prefix(job_id))
    assert reached < count
    # An item that could still start would do so before a later job has finished.
    later = fleet.submit(2, count=40).json()["id"]
    fleet.wait_job(2, later)
    assert len(fleet.requests_with_prefix(job_id)) == reached
    lines = fleet.results(2, job_id)
    assert len({line["custom_id"] for line in lines}) == len(lines) == count
    cancelled = [line for line in lines if line["error"]]
    assert {line["error"]["code"] for line in cancelled} == {"item_cancelled"}
    assert all(fleet.results(vm, job_id) == lines for vm in (0, 1))


def test_cancellation_racing_with_results_has_one_outcome_everywhere(fleet):
    count = 8
    for turn in range(6):
        job_id = fleet.submit(turn % 3, count=count, tokens=2 + turn).json()["id"]
        fleet.cancel((turn + 1) % 3, job_id)
        statuses = set()
        for vm in range(3):
            statuses.add(fleet.ended_status(vm, job_id))
        assert len(statuses) == 1
        seen = [fleet.results(vm, job_id) for vm in range(3)]
        assert seen[0] == seen[1] == seen[2]
        assert len({line["custom_id"] for line in seen[0]}) == len(seen[0]) == count
