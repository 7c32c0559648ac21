"""The soak: its checks find broken promises, and short seeded runs find none."""

import dataclasses
import random

import anyio
import pytest

from foxtailbank.clock import ManualClock, SystemClock
from foxtailbank.http1.client_channel import ResponseHead
from foxtailbank_soak import plan
from foxtailbank_soak.callers import BatchCaller, OnlineCaller
from foxtailbank_soak.journal import Disturbance, Journal, Kind, Run, Sent
from foxtailbank_soak.plan import Fault
from foxtailbank_soak.soak import Options, Soak

SEEDS = (1, 2)
RUN = Run(
    request_id="r",
    worker_id="w",
    method="POST",
    target="/x",
    body=b"b",
    started_ms=10,
)
SENT = Sent(
    request_id="r",
    vm_id="vm",
    kind=Kind.UNSAFE,
    method="POST",
    target="/x",
    body=b"b",
    sent_ms=10,
)


def promises(journal):
    return [violation.promise for violation in journal.violations]


def make_soak(tmp_path, **options):
    options = {"seed": 1, "net": "127.79", **options}
    return Soak(
        options=Options(**options), directory=tmp_path, clock=ManualClock(start_ms=1)
    )


@pytest.mark.parametrize(
    ("kind", "runs", "expected"),
    [
        pytest.param(Kind.UNSAFE, [RUN], [], id="once"),
        pytest.param(Kind.UNSAFE, [RUN, RUN], ["run once"], id="twice"),
        pytest.param(Kind.SAFE, [RUN, RUN], [], id="repeatable"),
        pytest.param(
            Kind.SAFE,
            [dataclasses.replace(RUN, body=b"c")],
            ["request unchanged"],
            id="changed",
        ),
    ],
)
def test_what_workers_see(kind, runs, expected):
    journal = Journal()
    journal.on_sent(dataclasses.replace(SENT, kind=kind))
    for run in runs:
        journal.on_run(run)
    assert promises(journal) == expected


@pytest.mark.parametrize(
    ("kind", "status", "runs", "expected"),
    [
        pytest.param(Kind.UNSAFE, 503, 0, [], id="true-refusal"),
        pytest.param(Kind.UNSAFE, 503, 1, ["not run"], id="false-refusal"),
        pytest.param(Kind.UNSAFE, 502, 1, [], id="no-promise"),
        pytest.param(Kind.SAFE, 200, 4, ["attempts"], id="too-many-attempts"),
    ],
)
def test_what_answers_promise(tmp_path, kind, status, runs, expected):
    soak = make_soak(tmp_path)
    soak.journal.on_sent(dataclasses.replace(SENT, kind=kind, status=status))
    for _ in range(runs):
        soak.journal.on_run(RUN)
    soak.check_promises()
    assert promises(soak.journal) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        pytest.param({"status": 200, "ended_ms": 50}, [], id="served"),
        pytest.param({"status": 503, "ended_ms": 50}, [], id="refused"),
        pytest.param(
            {"status": -1, "ended_ms": 50}, ["answers what it read"], id="broken-off"
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
            id="held",
        ),
        pytest.param({"status": -1, "ended_ms": 150}, [], id="disturbed"),
        pytest.param({"status": -1, "ended_ms": 50, "left": True}, [], id="left"),
    ],
)
def test_what_calm_owes(tmp_path, changes, expected):
    soak = make_soak(tmp_path)
    for planned, from_ms in ((True, 0), (False, 100)):
        to_ms = 9_000 if planned else 200
        soak.journal.disturb(
            Disturbance(name="x", from_ms=from_ms, to_ms=to_ms, planned=planned)
        )
    if changes["ended_ms"] > 1_000:
        soak.journal.disturbances.pop()
    soak.journal.on_sent(dataclasses.replace(SENT, **changes))
    soak.journal.runs_by_id["r"].append(RUN)
    soak.check_calm_requests()
    assert promises(soak.journal) == expected


@pytest.mark.parametrize(
    ("headers", "body", "expected"),
    [
        pytest.param({}, b"POST b", [], id="whole"),
        pytest.param({}, b"POST ", ["whole answer"], id="cut"),
        pytest.param(
            {"x-response-stamp": ""}, b"POST b", ["answer of a worker"], id="no-proof"
        ),
        pytest.param({"x-request-id": "q"}, b"POST b", ["own answer"], id="other"),
    ],
)
def test_what_an_answer_must_be(headers, body, expected):
    journal = Journal()
    caller = OnlineCaller(
        name="c",
        address_by_vm={"vm": "127.0.0.1:1"},
        events=1,
        journal=journal,
        clock=ManualClock(),
        rng=random.Random(1),
    )
    sound = {"x-request-id": "r", "x-response-stamp": "s"}
    head = ResponseHead(status=200, headers=tuple({**sound, **headers}.items()))
    caller.check(SENT, head, body)
    assert promises(journal) == expected


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
def test_what_results_must_be(first, second, expected):
    journal = Journal()
    caller = BatchCaller(
        name="b",
        address_by_vm={"vm": "127.0.0.1:1"},
        text="t",
        journal=journal,
        clock=ManualClock(),
        rng=random.Random(1),
    )
    caller.size_by_id["s"] = 2
    for results in (first, second):
        caller.check("s", "vm", 2, results)
    assert promises(journal) == expected


def test_a_plan_depends_on_its_seed_alone_and_holds_every_fault():
    draws = [plan.draw(random.Random(7), span_s=12, series=400) for _ in range(2)]
    assert draws[0] == draws[1]
    assert {event.fault for event in draws[0]} == set(Fault)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_seeded_run_breaks_no_promise(tmp_path, seed):
    options = Options(seed=seed, span_s=5.0, series=4, net=f"127.{80 + seed}")
    soak = Soak(options=options, directory=tmp_path, clock=SystemClock())
    anyio.run(soak.run)
    assert soak.journal.violations == [], soak.report()
    assert soak.journal.statuses[200] > 100
