"""The soak checks detect violated guarantees, and short seeded runs have none."""

import dataclasses
import random

import anyio
import pytest

from foxtailbank.clock import ManualClock, SystemClock
from foxtailbank.http1.client_channel import ResponseHead
from foxtailbank_soak import plan
from foxtailbank_soak.callers import BatchCaller, OnlineCaller
from foxtailbank_soak.journal import (
    Disturbance,
    Journal,
    RequestKind,
    SentRequest,
    WorkerRun,
)
from foxtailbank_soak.plan import Fault
from foxtailbank_soak.soak import Options, Soak

SEEDS = (1, 2)
RUN = WorkerRun(
    request_id="r",
    worker_id="w",
    method="POST",
    target="/x",
    body=b"b",
    started_ms=10,
)
SENT = SentRequest(
    request_id="r",
    vm_id="vm",
    kind=RequestKind.UNSAFE,
    method="POST",
    target="/x",
    body=b"b",
    sent_ms=10,
)


def violated_guarantees(journal):
    return [violation.guarantee for violation in journal.violations]


def make_soak(tmp_path, **options):
    options = {"seed": 1, "net": "127.79", **options}
    return Soak(
        options=Options(**options), directory=tmp_path, clock=ManualClock(start_ms=1)
    )


@pytest.mark.parametrize(
    ("kind", "runs", "expected"),
    [
        pytest.param(RequestKind.UNSAFE, [RUN], [], id="once"),
        pytest.param(RequestKind.UNSAFE, [RUN, RUN], ["run once"], id="twice"),
        pytest.param(RequestKind.SAFE, [RUN, RUN], [], id="repeatable"),
        pytest.param(
            RequestKind.SAFE,
            [dataclasses.replace(RUN, body=b"c")],
            ["request unchanged"],
            id="changed",
        ),
    ],
)
def test_runs_match_the_sent_request(kind, runs, expected):
    journal = Journal()
    journal.on_sent(dataclasses.replace(SENT, kind=kind))
    for run in runs:
        journal.on_run(run)
    assert violated_guarantees(journal) == expected


@pytest.mark.parametrize(
    ("kind", "status", "runs", "expected"),
    [
        pytest.param(RequestKind.UNSAFE, 503, 0, [], id="true-refusal"),
        pytest.param(RequestKind.UNSAFE, 503, 1, ["not run"], id="false-refusal"),
        pytest.param(RequestKind.UNSAFE, 502, 1, [], id="no-guarantee"),
        pytest.param(RequestKind.SAFE, 200, 4, ["attempts"], id="too-many-attempts"),
    ],
)
def test_runs_match_the_response_status(tmp_path, kind, status, runs, expected):
    soak = make_soak(tmp_path)
    soak.journal.on_sent(dataclasses.replace(SENT, kind=kind, status=status))
    for _ in range(runs):
        soak.journal.on_run(RUN)
    soak.check_executions()
    assert violated_guarantees(soak.journal) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        pytest.param({"status": 200, "ended_ms": 50}, [], id="served"),
        pytest.param({"status": 503, "ended_ms": 50}, [], id="refused"),
        pytest.param(
            {"status": -1, "ended_ms": 50}, ["answers what it read"], id="incomplete"
        ),
        pytest.param(
            {"status": -1, "ended_ms": 50, "request_id": "never-run"},
            [],
            id="crossed-a-close",
        ),
        pytest.param(
            {"status": -1, "ended_ms": 9_000, "request_id": "never-run"},
            ["answers in time", "answers what it read"],
            id="dropped-late",
        ),
        pytest.param(
            {"status": 502, "ended_ms": 50}, ["no failures in calm"], id="failed"
        ),
        pytest.param(
            {"status": 504, "ended_ms": 9_000},
            ["answers in time", "no failures in calm"],
            id="overdue",
        ),
        pytest.param({"status": -1, "ended_ms": 150}, [], id="disturbed"),
        pytest.param({"status": -1, "ended_ms": 50, "hung_up": True}, [], id="hung-up"),
    ],
)
def test_undisturbed_requests_succeed_in_time(tmp_path, changes, expected):
    soak = make_soak(tmp_path)
    for planned, from_ms in ((True, 0), (False, 100)):
        to_ms = 9_000 if planned else 200
        soak.journal.add_disturbance(
            Disturbance(name="x", from_ms=from_ms, to_ms=to_ms, planned=planned)
        )
    if changes["ended_ms"] > 1_000:
        soak.journal.disturbances.pop()
    soak.journal.on_sent(dataclasses.replace(SENT, **changes))
    soak.journal.runs_by_id["r"].append(RUN)
    soak.check_undisturbed_requests()
    assert violated_guarantees(soak.journal) == expected


@pytest.mark.parametrize(
    ("headers", "body", "expected"),
    [
        pytest.param({}, b"POST b", [], id="complete"),
        pytest.param({}, b"POST ", ["whole answer"], id="truncated"),
        pytest.param(
            {"x-response-stamp": ""}, b"POST b", ["answer of a worker"], id="no-stamp"
        ),
        pytest.param({"x-request-id": "q"}, b"POST b", ["own answer"], id="other"),
    ],
)
def test_response_check(headers, body, expected):
    journal = Journal()
    caller = OnlineCaller(
        name="c",
        address_by_vm={"vm": "127.0.0.1:1"},
        events=1,
        journal=journal,
        clock=ManualClock(),
        rng=random.Random(1),
    )
    valid = {"x-request-id": "r", "x-response-stamp": "s"}
    head = ResponseHead(status=200, headers=tuple({**valid, **headers}.items()))
    caller.check_response(SENT, head, body)
    assert violated_guarantees(journal) == expected


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        pytest.param([("a", "t")], [("a", "t"), ("b", "t")], [], id="grows"),
        pytest.param(
            [("a", "t")], [("b", "t"), ("a", "t")], ["fixed positions"], id="moves"
        ),
        pytest.param([], [("a", "t"), ("a", "t")], ["one position"], id="twice"),
        pytest.param([], [("a", "u")], ["whole text"], id="other-text"),
    ],
)
def test_batch_result_check(first, second, expected):
    journal = Journal()
    caller = BatchCaller(
        name="b",
        address_by_vm={"vm": "127.0.0.1:1"},
        expected_text="t",
        journal=journal,
        clock=ManualClock(),
        rng=random.Random(1),
    )
    caller.size_by_id["s"] = 2
    for results in (first, second):
        caller.check_results("s", "vm", 2, results)
    assert violated_guarantees(journal) == expected


def test_plan_is_reproducible_and_covers_every_fault():
    draws = [
        plan.draw_faults(random.Random(7), span_s=12, series=400) for _ in range(2)
    ]
    assert draws[0] == draws[1]
    assert {scheduled.fault for scheduled in draws[0]} == set(Fault)


@pytest.mark.parametrize("seed", SEEDS)
def test_short_seeded_run_has_no_violations(tmp_path, seed):
    options = Options(seed=seed, span_s=5.0, series=4, net=f"127.{80 + seed}")
    soak = Soak(options=options, directory=tmp_path, clock=SystemClock())
    anyio.run(soak.run)
    assert soak.journal.violations == [], soak.report()
    assert soak.journal.statuses[200] > 100
