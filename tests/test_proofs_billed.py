"""Billed calls under faults: at most once by the endpoints' journals."""

import concurrent.futures
import dataclasses

import httpx
import pytest

from fleet_process import CALLER_HEADERS, Fleet, running_fleet


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as launcher:
        yield Fleet(launcher)


@pytest.fixture
def booked(fleet):
    """Counts the bookings that reached endpoints since the test began."""
    before = len(fleet.bookings())
    return lambda: len(fleet.bookings()) - before


def services(fleet):
    names = [spec.name for spec in fleet.launcher.deployment.endpoints]
    return [name for name in names if name.startswith("records")]


def set_services(fleet, **faults):
    for name in services(fleet):
        fleet.launcher.faults(name, **faults)


@dataclasses.dataclass(frozen=True)
class Answer:
    status: int
    code: str
    ran: str


def told(answer):
    error = answer.json().get("error", {})
    return Answer(answer.status_code, error.get("code", ""), error.get("ran", ""))


def test_one_key_sent_to_all_vms_at_once_is_booked_once(fleet, booked):
    for turn in range(5):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            calls = [
                pool.submit(fleet.book, vm % 3, {"turn": turn}, key=f"racing-{turn}")
                for vm in range(6)
            ]
            answers = [call.result() for call in calls]
        assert booked() == turn + 1
        bodies = {a.content for a in answers if a.status_code == 201}
        assert len(bodies) == 1
        others = [told(a) for a in answers if a.status_code != 201]
        assert {answer.ran for answer in others} <= {"unknown"}
        for vm in range(3):
            again = fleet.book(vm, {"turn": turn}, key=f"racing-{turn}")
            assert again.status_code == 201
            assert {again.content} == bodies
        assert booked() == turn + 1


def test_same_key_with_other_content_is_a_conflict_and_not_run(fleet, booked):
    assert fleet.book(0, {"n": 1}, key="content").status_code == 201
    answer = fleet.book(1, {"n": 2}, key="content")
    assert told(answer) == Answer(409, "idempotency_conflict", "no")
    assert booked() == 1


def test_call_without_a_key_is_dispatched_once_when_its_answer_is_lost(fleet, booked):
    set_services(fleet, drop_after_effect=1)
    try:
        answer = fleet.book(0, {"n": 1})
    finally:
        set_services(fleet, drop_after_effect=0)
    assert told(answer).ran == "unknown"
    assert booked() == 1


def test_keyed_call_whose_answer_is_lost_never_runs_again(fleet, booked):
    set_services(fleet, drop_after_effect=1)
    try:
        answers = [fleet.book(vm, {"n": 1}, key="lost-answer") for vm in (0, 1, 2, 0)]
    finally:
        set_services(fleet, drop_after_effect=0)
    assert {told(answer).ran for answer in answers} == {"unknown"}
    assert booked() == 1


def test_call_of_a_killed_claimant_is_unknown_and_never_run_again(fleet, booked):
    set_services(fleet, delay_ms=20_000)
    try:
        with concurrent.futures.ThreadPoolExecutor() as pool:
            call = pool.submit(fleet.book, 0, {"n": 1}, key="killed")
            fleet.wait(lambda: booked() == 1)
            fleet.kill(fleet.name(0))
            with pytest.raises(httpx.TransportError):
                call.result()
    finally:
        set_services(fleet, delay_ms=0)
    for vm in (1, 2, 1):
        assert told(fleet.book(vm, {"n": 1}, key="killed")).ran == "unknown"
    fleet.restart(0)
    assert told(fleet.book(0, {"n": 1}, key="killed")).ran == "unknown"
    assert booked() == 1


# More than the buffers of both ends of a connection hold.
HUGE_BYTES = 24 << 20
LARGE_BYTES = 3 << 20
WRONG_KEY = {"authorization": "Bearer wrong"}
REFUSED = [
    ("/v1/completions", WRONG_KEY, LARGE_BYTES, 401),
    ("/v1/completions", {}, LARGE_BYTES, 401),
    ("/v1/completions", CALLER_HEADERS, LARGE_BYTES, 400),
    ("/v1/completions", CALLER_HEADERS, HUGE_BYTES, 413),
    ("/v1/services/nothing/x", CALLER_HEADERS, LARGE_BYTES, 404),
    ("/v1/batches?entry=nothing", CALLER_HEADERS, HUGE_BYTES, 404),
    ("/v1/batches?entry=notices", WRONG_KEY, HUGE_BYTES, 401),
    ("/v1/nothing", CALLER_HEADERS, HUGE_BYTES, 404),
]


def test_typed_refusal_of_a_body_that_was_not_read(fleet):
    reached = len(fleet.journal())

    def send(case):
        path, headers, size, status = case
        url = fleet.url(0, path)
        answer = httpx.post(url, headers=headers, content=b" " * size, timeout=60)
        return answer.status_code, status, answer.json()["error"]["ran"]

    with concurrent.futures.ThreadPoolExecutor(max_workers=16) as pool:
        answers = list(pool.map(send, REFUSED * 4))
    assert [got for got, _, _ in answers] == [want for _, want, _ in answers]
    assert {ran for _, _, ran in answers} == {"no"}
    assert len(fleet.journal()) == reached
