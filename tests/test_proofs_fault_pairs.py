"""Pairs of faults at the same time."""

import concurrent.futures
import threading

import pytest

from fleet_process import Fleet, running_fleet, slow_endpoints

ITEMS = 16
# Enough jobs that every VM and every engine has work.
JOBS = 8


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    with running_fleet(directory, endpoints=slow_endpoints()) as launcher:
        yield Fleet(launcher)


def assert_job_complete(fleet, job_id):
    for vm in range(3):
        fleet.wait_job(vm, job_id)
    lines = [fleet.assert_each_item_once(vm, job_id, ITEMS) for vm in range(3)]
    assert lines[0] == lines[1] == lines[2]


def test_lost_append_answer_followed_by_the_death_of_the_vm(fleet):
    with concurrent.futures.ThreadPoolExecutor() as pool:
        fleet.set_platform_faults(log="slow", delay_ms=200, lose_answers=1)
        sent = pool.submit(fleet.submit, 0, count=ITEMS, key="lost-and-dead")
        fleet.wait(lambda: sent.done() or is_append_answer_lost(fleet))
        fleet.kill(fleet.name(0))
        fleet.set_platform_faults(log="up", lose_answers=0)
    # Whether or not the first submission took effect, resending gives one job.
    ids = {
        fleet.submit(vm, count=ITEMS, key="lost-and-dead").json()["id"]
        for vm in (1, 2, 1)
    }
    assert len(ids) == 1
    fleet.restart(0)
    assert_job_complete(fleet, ids.pop())


def is_append_answer_lost(fleet):
    url = f"http://{fleet.launcher.address('platform')}/control/faults"
    return fleet.client.post(url, json={}).json()["lose_answers"] == 0


def start_jobs(fleet):
    ids = [fleet.submit(0, count=ITEMS).json()["id"] for _ in range(JOBS)]
    fleet.wait(lambda: fleet.requests_with_prefix("job-"))
    return ids


def test_vm_killed_while_another_is_frozen(fleet):
    ids = start_jobs(fleet)
    fleet.pause(1)
    try:
        fleet.kill(fleet.name(0))
        for job_id in ids:
            fleet.wait_job(2, job_id)
        assert fleet.complete(2, "Last one standing").status_code == 200
    finally:
        fleet.resume(1)
    fleet.restart(0)
    for job_id in ids:
        assert_job_complete(fleet, job_id)


def test_engine_killed_while_the_log_is_down(fleet):
    expected = fleet.expected_stream(0, "No log", tokens=240)
    ids = start_jobs(fleet)
    fleet.set_platform_faults(log="down")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        started = [threading.Event() for _ in range(3)]
        streams = [
            pool.submit(
                fleet.stream,
                vm,
                "No log",
                tokens=240,
                request_id=f"no-log-{vm}",
                started=started[vm],
            )
            for vm in range(3)
        ]
        fleet.wait(lambda: all(event.is_set() for event in started))
        lost_engine = fleet.requests_with_prefix("no-log-")[0]["endpoint"]
        fleet.launcher.may_fail = (lost_engine,)
        fleet.kill(lost_engine)
        assert [stream.result() for stream in streams] == [expected] * 3
    assert [e for e in fleet.requests_with_prefix("no-log-") if e["resume_at"]]
    assert fleet.submit(1, count=1).json()["error"]["ran"] == "no"
    fleet.set_platform_faults(log="up", lose_answers=3)
    for job_id in ids:
        assert_job_complete(fleet, job_id)
