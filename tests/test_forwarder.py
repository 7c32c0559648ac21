"""What a caller sees of workers that fail, and what workers get of a request."""

import pytest

from foxtailbank.fleet.crash_marks import CrashMark
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import (
    AnswerGarbled,
    ConnectionBroken,
    NotConnected,
    ServerSilent,
)
from serving_fakes import FakeAnswer, FakeResponder, ServingWorld, make_route

pytestmark = pytest.mark.anyio
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
SAFE = make_route()
UNSAFE = make_route(kind=RouteKind.UNSAFE)
STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def good(*parts):
    return FakeAnswer(parts=parts or (b"ok",))


@pytest.mark.parametrize(
    ("route", "script", "status", "body", "sends"),
    [
        pytest.param(SAFE, [good()], 200, b"ok", 1, id="served"),
        pytest.param(SAFE, [ConnectionBroken(), good()], 200, b"ok", 2, id="repeated"),
        pytest.param(SAFE, [AnswerGarbled(), good()], 200, b"ok", 2, id="spoilt"),
        pytest.param(SAFE, [ServerSilent(), good()], 200, b"ok", 2, id="silent"),
        pytest.param(
            SAFE, [FakeAnswer(status=500), good()], 200, b"ok", 2, id="failed-once"
        ),
        pytest.param(
            SAFE,
            [FakeAnswer(status=500), FakeAnswer(status=500, parts=(b"e",))],
            500,
            b"e",
            2,
            id="own-failure-passed-on",
        ),
        pytest.param(
            SAFE, [ConnectionBroken(), ConnectionBroken()], 502, b"", 2, id="all-lost"
        ),
        pytest.param(UNSAFE, [ConnectionBroken()], 502, b"", 1, id="never-twice"),
        pytest.param(UNSAFE, [AnswerGarbled()], 502, b"", 1, id="spoilt-never-twice"),
        pytest.param(
            UNSAFE, [NotConnected(), good()], 200, b"ok", 2, id="nothing-was-sent"
        ),
        pytest.param(
            UNSAFE,
            [FakeAnswer(status=503, not_run=True), good()],
            200,
            b"ok",
            2,
            id="not-run-goes-elsewhere",
        ),
        pytest.param(
            UNSAFE,
            [FakeAnswer(status=503, not_run=True)] * 2,
            503,
            b"",
            2,
            id="not-run-anywhere",
        ),
        pytest.param(
            UNSAFE,
            [FakeAnswer(status=421, not_run=True, misdirected=True), good()],
            200,
            b"ok",
            2,
            id="address-reused",
        ),
        pytest.param(UNSAFE, [FakeAnswer(status=503)], 502, b"", 1, id="no-promise"),
        pytest.param(
            UNSAFE, [FakeAnswer(status=429)], 502, b"", 1, id="no-promise-429"
        ),
    ],
)
async def test_answers(route, script, status, body, sends):
    world = ServingWorld(*script)
    seen = await world.serve(route)
    assert (seen.status, seen.body, seen.complete) == (status, body, True)
    assert len(world.client.sent) == sends


@pytest.mark.parametrize(
    ("route", "script", "body", "complete", "resumed"),
    [
        pytest.param(STREAM, [good(*EVENTS)], b"".join(EVENTS), True, "", id="whole"),
        pytest.param(
            STREAM,
            [good(EVENTS[0], ConnectionBroken())],
            EVENTS[0],
            False,
            "",
            id="broken-stays-broken",
        ),
        pytest.param(
            RESUMABLE,
            [good(EVENTS[0], b"id: 2\nda", ConnectionBroken()), good(EVENTS[1])],
            b"".join(EVENTS),
            True,
            "1",
            id="resumed-at-a-whole-event",
        ),
        pytest.param(
            RESUMABLE,
            [good(EVENTS[0], b"id: 2\nda"), good(EVENTS[1])],
            b"".join(EVENTS),
            True,
            "1",
            id="ended-within-an-event",
        ),
        pytest.param(
            RESUMABLE,
            [good(EVENTS[0], ServerSilent()), FakeAnswer(status=500)],
            EVENTS[0],
            False,
            "1",
            id="failure-after-resumption",
        ),
    ],
)
async def test_streams(route, script, body, complete, resumed):
    world = ServingWorld(*script)
    seen = await world.serve(route)
    assert (seen.body, seen.complete) == (body, complete)
    assert world.client.sent[-1][3] == resumed


async def test_attempts_stay_within_the_routes_bound():
    world = ServingWorld(*[ConnectionBroken()] * 5, worker_count=5)
    await world.serve(make_route(max_attempts=3))
    workers = [worker_id for worker_id, *_ in world.client.sent]
    assert len(workers) == len(set(workers)) == 3


async def test_time_passed_on_is_what_is_left():
    world = ServingWorld(good())
    await world.serve(make_route(timeout_ms=900), patience_ms=5_000)
    assert 0 < world.client.sent[0][2] <= 900


async def test_a_silent_worker_is_answered_for_at_the_timeout():
    world = ServingWorld(None)
    seen = await world.serve(make_route(timeout_ms=60, max_attempts=1))
    assert (seen.status, seen.complete) == (504, True)


async def test_overload_is_refused_at_once_with_a_time_to_come_back():
    world = ServingWorld(worker_count=1, slots=1)
    for _ in range(4):
        world.fleet.start("w0", LoadKind.ONLINE)
    seen = await world.serve(make_route(kind=RouteKind.UNSAFE))
    assert seen.status == 503
    assert 0 < float(dict(seen.headers)["Retry-After"]) <= 2
    assert world.client.sent == []


async def test_a_request_that_crashed_three_workers_is_not_sent_again():
    world = ServingWorld()
    for number in range(3):
        mark = CrashMark(fingerprint=7, worker_id=f"w{number}")
        world.fleet.marks.add(mark, 0)
    seen = await world.serve(SAFE)
    assert seen.status == 503
    assert world.client.sent == []


@pytest.mark.parametrize("failure", [500, ConnectionBroken], ids=["errors", "resets"])
async def test_a_worker_that_fails_requests_in_a_row_is_left_alone(failure):
    script = []
    for _ in range(2):
        script.append(failure() if failure != 500 else FakeAnswer(status=500))
        script.append(good())
    script += [good()] * 3
    world = ServingWorld(*script, worker_count=2, slots=4)
    for _ in range(5):
        world.responder = FakeResponder()
        seen = await world.serve(SAFE)
        assert seen.status == 200
    workers = [worker_id for worker_id, *_ in world.client.sent]
    assert workers[0] == workers[2] != workers[1]
    assert set(workers[3:]) == {workers[1]}
