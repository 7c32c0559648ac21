"""Billed calls under faults run at most once, as the endpoints' journals show."""

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
def booking_count(fleet):
    """Return a function that counts the bookings made since the test began."""
    before = len(fleet.bookings())
    return lambda: len(fleet.bookings()) - before


def services(fleet):
    names = [spec.name for spec in fleet.launcher.deployment.endpoints]
    return [name for name in names if name.startswith("records")]


def set_service_faults(fleet, **faults):
    for name in services(fleet):
        fleet.launcher.faults(name, **faults)


@dataclasses.dataclass(frozen=True)
class Outcome:
    status: int
    code: str
    ran: str


def outcome_of(response):
    error = response.json().get("error", {})
    return Outcome(response.status_code, error.get("code", ""), error.get("ran", ""))


def test_one_key_sent_to_all_vms_at_once_is_booked_once(fleet, booking_count):
    for turn in range(5):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            calls = [
                pool.submit(
                    fleet.create_booking, vm % 3, {"turn": turn}, key=f"racing-{turn}"
                )
                for vm in range(6)
            ]
            responses = [call.result() for call in calls]
        assert booking_count() == turn + 1
        bodies = {a.content for a in responses if a.status_code == 201}
        assert len(bodies) == 1
        others = [outcome_of(a) for a in responses if a.status_code != 201]
        assert {outcome.ran for outcome in others} <= {"unknown"}
        for vm in range(3):
            repeated = fleet.create_booking(vm, {"turn": turn}, key=f"racing-{turn}")
            assert repeated.status_code == 201
            assert {repeated.content} == bodies
        assert booking_count() == turn + 1


def test_same_key_with_other_content_is_a_conflict_and_not_run(fleet, booking_count):
    assert fleet.create_booking(0, {"n": 1}, key="content").status_code == 201
    response = fleet.create_booking(1, {"n": 2}, key="content")
    assert outcome_of(response) == Outcome(409, "idempotency_conflict", "no")
    assert booking_count() == 1


def test_call_without_a_key_is_dispatched_once_when_its_answer_is_lost(
    fleet, booking_count
):
    set_service_faults(fleet, drop_after_effect=1)
    try:
        response = fleet.create_booking(0, {"n": 1})
    finally:
        set_service_faults(fleet, drop_after_effect=0)
    assert outcome_of(response).ran == "unknown"
    assert booking_count() == 1


def test_keyed_call_whose_answer_is_lost_never_runs_again(fleet, booking_count):
    set_service_faults(fleet, drop_after_effect=1)
    try:
        responses = [
            fleet.create_booking(vm, {"n": 1}, key="lost-answer") for vm in (0, 1, 2, 0)
        ]
    finally:
        set_service_faults(fleet, drop_after_effect=0)
    assert {outcome_of(response).ran for response in responses} == {"unknown"}
    assert booking_count() == 1


def test_call_of_a_killed_claimant_is_unknown_and_never_run_again(fleet, booking_count):
    set_service_faults(fleet, delay_ms=20_000)
    try:
        with concurrent.futures.ThreadPoolExecutor() as pool:
            call = pool.submit(fleet.create_booking, 0, {"n": 1}, key="killed")
            fleet.wait(lambda: booking_count() == 1)
            fleet.kill(fleet.name(0))
            with pytest.raises(httpx.TransportError):
                call.result()
    finally:
        set_service_faults(fleet, delay_ms=0)
    for vm in (1, 2, 1):
        assert (
            outcome_of(fleet.create_booking(vm, {"n": 1}, key="killed")).ran
            == "unknown"
        )
    fleet.restart(0)
    assert outcome_of(fleet.create_booking(0, {"n": 1}, key="killed")).ran == "unknown"
    assert booking_count() == 1


# Larger than the send and receive buffers of a connection together.
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
        response = httpx.post(url, headers=headers, content=b" " * size, timeout=60)
        return response.status_code, status, response.json()["error"]["ran"]

    with concurrent.futures.ThreadPoolExecutor(max_workers=16) as pool:
        responses = list(pool.map(send, REFUSED * 4))
    assert [got for got, _, _ in responses] == [want for _, want, _ in responses]
    assert {ran for _, _, ran in responses} == {"no"}
    assert len(fleet.journal()) == reached
