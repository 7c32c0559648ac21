"""Checks of the soak of releases notice broken promises."""

import random

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.journal import Journal
from foxtailbank_soak.release import Disturbance, ReleaseSoak
from foxtailbank_soak.stream_caller import StreamCaller, StreamTry

CLOCK = SystemClock()
STREAM = [(b"1", b"v1"), (b"2", b"v1"), (b"3", b"v1")]
FROM_MS, TO_MS = 10_000, 30_000


@pytest.fixture
def soak(tmp_path):
    return ReleaseSoak(seed=1, net="127.119", directory=tmp_path, clock=CLOCK)


def tries(count, *, events, version="", vm_id="vm1"):
    return [
        StreamTry(
            vm_id=vm_id, sent_ms=20_000, version=version, events=events, connected=True
        )
        for _ in range(count)
    ]


# Few streams, or streams of a version that has left, are not judged.
@pytest.mark.parametrize(
    ("went_on", "refused", "few_old_ms", "is_violation"),
    [
        pytest.param(2, 18, 25_000, True, id="most-are-refused"),
        pytest.param(12, 8, 25_000, False, id="half-go-on"),
        pytest.param(2, 8, 25_000, False, id="too-few"),
        pytest.param(2, 18, 15_000, False, id="version-has-left"),
    ],
)
def test_refusals_of_streams_taken_up_again(
    soak, went_on, refused, few_old_ms, is_violation
):
    soak._few_old_ms = few_old_ms
    soak._callers[0].tries = [
        *tries(40, events=3),
        *tries(went_on, events=2, version="v1"),
        *tries(refused, events=0, version="v1"),
    ]
    soak.check_goes_on()
    assert bool(soak.journal.violations) is is_violation


@pytest.mark.parametrize(
    ("served", "lost", "is_violation"),
    [
        pytest.param(5, ("vm1",), True, id="not-served"),
        pytest.param(25, ("vm1",), False, id="served"),
        pytest.param(5, ("vm1", "vm2", "vm3"), True, id="one-vm-reaches-them"),
        pytest.param(5, ("vm1", "vm2", "vm3", "vm4"), False, id="no-vm-reaches-them"),
    ],
)
def test_callers_of_a_vm_without_workers(soak, served, lost, is_violation):
    soak._disturbances = [
        Disturbance(vm_id=vm_id, from_ms=FROM_MS, to_ms=TO_MS, lost_workers=True)
        for vm_id in lost
    ]
    soak._callers[0].tries = [
        *tries(served, events=3),
        *tries(30 - served, events=0),
        *tries(30, events=3, vm_id="vm4" if len(lost) < 4 else "vm5"),
    ]
    soak.check_lost_workers()
    assert bool(soak.journal.violations) is is_violation


@pytest.mark.parametrize(
    ("received", "is_violation"),
    [
        pytest.param(STREAM, False, id="whole"),
        pytest.param([*STREAM[:2], (b"3", b"v2")], True, id="two-versions"),
        pytest.param([STREAM[0], STREAM[2]], True, id="a-gap"),
        pytest.param([STREAM[0], *STREAM], True, id="an-event-twice"),
        pytest.param(STREAM[:2], True, id="ends-early"),
    ],
)
def test_received_streams(received, is_violation):
    journal = Journal()
    caller = StreamCaller(
        name="c",
        address_by_vm={},
        events=3,
        journal=journal,
        clock=CLOCK,
        rng=random.Random(1),
    )
    caller._check("q", received, is_complete=True)
    assert bool(journal.violations) is is_violation


def test_requests_to_a_worker_that_has_left(soak):
    async def check():
        worker = soak._environment.workers[0]
        worker.first_leaving_ms = CLOCK.now_ms() - 10_000
        worker.leaving = "1"
        for number in range(6):
            request = type("Request", (), {})()
            request.get = lambda name, number=number: f"q{number}"
            request.method, request.target, request.body = "POST", "/x", b""
            worker._record(request)
        soak._check_left_alone(0)

    anyio.run(check)
    assert soak.journal.violations
