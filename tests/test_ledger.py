import pytest

from foxtailbank import ledger_events as ev
from foxtailbank import records
from foxtailbank.job_state import JobStatus, ResultPart
from foxtailbank.ledger import Ledger
from ledger_entries import (
    abandon,
    call,
    cancel,
    claim,
    complete,
    envelope,
    job,
    ranges,
    release,
    release_items,
    results,
)


def replay(*entries, ledger=None):
    """Apply each entry in a separate record; return event names or ignore reasons."""
    ledger = ledger or Ledger()
    names = []
    for offset, entry in enumerate(entries, ledger.next_offset):
        for event in ledger.apply(offset, envelope(offset + 1, entry)):
            names.append(getattr(event, "reason", type(event).__name__))
    return ledger, names


REASON = ev.IgnoreReason
NON_IDEMPOTENT_JOB = job(idempotent=False)


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([job()], ["JobAdded"]),
        ([job(key="k"), job("j2", key="k")], ["JobAdded", "JobRepeated"]),
        ([job(key="k"), job("j2", key="k", digest="x")], ["JobAdded", "JobConflict"]),
        ([job(key="k"), job("j2", key="k", owner="o")], ["JobAdded", "JobAdded"]),
        ([job(), job("j2")], ["JobAdded", "JobAdded"]),
        ([job(), job()], ["JobAdded", "JobRepeated"]),
        ([job(item_count=5)], [REASON.OUT_OF_RANGE]),
        ([job(counts=(0,))], [REASON.OUT_OF_RANGE]),
        ([job(counts=())], [REASON.OUT_OF_RANGE]),
        ([results((0, 1))], [REASON.UNKNOWN_JOB]),
        ([job(), results((0, 5))], ["JobAdded", REASON.OUT_OF_RANGE]),
        ([job(), results((0, 1), chunk=1)], ["JobAdded", REASON.OUT_OF_RANGE]),
        ([job(), results((0, 1), at=-1)], ["JobAdded", REASON.OUT_OF_RANGE]),
        ([job(), results()], ["JobAdded", REASON.OUT_OF_RANGE]),
        ([job(), results((0, 4))], ["JobAdded", "ResultsApplied", "JobFinished"]),
        (
            [job(), results((0, 2)), results((0, 2)), results((1, 3))],
            [
                "JobAdded",
                "ResultsApplied",
                REASON.NOTHING_NEW,
                "ResultsApplied",
                "JobFinished",
            ],
        ),
        (
            [job(), cancel(), results((0, 4)), cancel()],
            ["JobAdded", "JobCancelledEvent", REASON.JOB_ENDED, REASON.JOB_ENDED],
        ),
        (
            [job(), results((0, 4)), cancel()],
            ["JobAdded", "ResultsApplied", "JobFinished", REASON.JOB_ENDED],
        ),
        ([job(), claim((0, 1))], ["JobAdded", REASON.NOTHING_NEW]),
        ([NON_IDEMPOTENT_JOB, results((0, 1))], ["JobAdded", REASON.NOTHING_NEW]),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), results((0, 2), claimant="b")],
            ["JobAdded", "ItemsClaimWon", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), claim((0, 2), claimant="b")],
            ["JobAdded", "ItemsClaimWon", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), abandon((0, 2), claimant="b")],
            ["JobAdded", "ItemsClaimWon", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), abandon((0, 2)), results((0, 2))],
            ["JobAdded", "ItemsClaimWon", "ItemsEnded", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), results((0, 2)), abandon((0, 2))],
            ["JobAdded", "ItemsClaimWon", "ResultsApplied", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 4)), results((0, 3)), abandon((0, 4))],
            [
                "JobAdded",
                "ItemsClaimWon",
                "ResultsApplied",
                "ItemsEnded",
                "JobFinished",
            ],
        ),
        (
            [
                NON_IDEMPOTENT_JOB,
                claim((0, 3)),
                release_items((0, 2)),
                claim((0, 4), claimant="b"),
            ],
            ["JobAdded", "ItemsClaimWon", "ItemsReleasedEvent", "ItemsClaimWon"],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 3)), release_items((0, 2)), results((0, 3))],
            ["JobAdded", "ItemsClaimWon", "ItemsReleasedEvent", "ResultsApplied"],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), release_items((0, 2), claimant="b")],
            ["JobAdded", "ItemsClaimWon", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), release_items((0, 2)), results((0, 2))],
            ["JobAdded", "ItemsClaimWon", "ItemsReleasedEvent", REASON.NOTHING_NEW],
        ),
        (
            [NON_IDEMPOTENT_JOB, claim((0, 2)), results((0, 2)), release_items((0, 2))],
            ["JobAdded", "ItemsClaimWon", "ResultsApplied", REASON.NOTHING_NEW],
        ),
        ([call(), call("b")], ["CallClaimWon", "CallClaimLost"]),
        ([call(), call()], ["CallClaimWon", "CallClaimLost"]),
        ([call(), call("b", "x")], ["CallClaimWon", "CallConflict"]),
        ([call(), release("b")], ["CallClaimWon", REASON.NOT_CLAIMANT]),
        (
            [call(), release(), call("b")],
            ["CallClaimWon", "CallReleasedEvent", "CallClaimWon"],
        ),
        (
            [call(), release(), call("b", "x")],
            ["CallClaimWon", "CallReleasedEvent", "CallConflict"],
        ),
        (
            [call(), release(), complete(), release()],
            ["CallClaimWon", "CallReleasedEvent"] + 2 * [REASON.NOT_CLAIMANT],
        ),
        (
            [call(), complete(), release(), complete(), call("b")],
            [
                "CallClaimWon",
                "CallDone",
                REASON.CALL_COMPLETED,
                REASON.CALL_COMPLETED,
                "CallClaimLost",
            ],
        ),
        ([call(), complete("b")], ["CallClaimWon", REASON.NOT_CLAIMANT]),
        ([release(), complete()], 2 * [REASON.UNKNOWN_CALL]),
        (
            [job(), records.JobRetired(job_id="j1", manifest_offset=9)],
            ["JobAdded", REASON.JOB_NOT_ENDED],
        ),
    ],
)
def test_entries_produce_events(entries, expected):
    assert replay(*entries)[1] == expected


@pytest.mark.parametrize("gap", [0, 1])
def test_duplicate_records_are_dropped(gap):
    ledger = Ledger()
    ledger.apply(0, envelope(1, job()))
    ledger.apply(1, envelope(2, call()))
    ledger.apply(2, envelope(3, release()))
    if gap:
        ledger.apply(3, envelope(1, job("other"), incarnation="b"))
    assert ledger.apply(4, envelope(2, call())) == ()
    assert ledger.apply(5, envelope(2, call("b"), incarnation="b"))
    assert ledger.next_offset == 6


def test_records_below_the_applied_offset_are_dropped():
    ledger, _ = replay(job(), cancel())
    assert ledger.apply(0, envelope(9, job("j2"))) == ()
    assert ledger.next_offset == 2


def test_each_item_has_one_result():
    ledger, _ = replay(
        job(counts=(4, 2)),
        results((0, 1), (3, 1), at=500, failed=((3, 1),)),
        results((0, 4), at=501, failed=((0, 1), (3, 1))),
        results((0, 2), chunk=1, at=502),
    )
    state = ledger.jobs_by_id["j1"]
    assert state.results(0) == (
        ResultPart(payload_offset=500, items=ranges((0, 1), (3, 1))),
        ResultPart(payload_offset=501, items=ranges((1, 2))),
    )
    assert state.results(1) == (ResultPart(payload_offset=502, items=ranges((0, 2))),)
    assert (state.ended_count, state.failed_count) == (6, 1)
    assert state.status is JobStatus.FINISHED


def test_retired_job_keeps_its_key_until_history_expires():
    ledger, _ = replay(job(key="k"), results((0, 4)))
    _, names = replay(
        records.JobRetired(job_id="j1", manifest_offset=900),
        records.JobRetired(job_id="j1", manifest_offset=901),
        results((0, 1)),
        job("j2", key="k"),
        records.HistoryExpired(before_offset=0),
        job("j2", key="k"),
        records.HistoryExpired(before_offset=1),
        job("j2", key="k"),
        ledger=ledger,
    )
    assert names == [
        "JobRetiredEvent",
        REASON.JOB_ENDED,
        REASON.JOB_ENDED,
        "JobRepeated",
        "HistoryForgotten",
        "JobRepeated",
        "HistoryForgotten",
        "JobAdded",
    ]


def test_payload_move_updates_references_once():
    move = records.PayloadMoved(
        job_id="j1",
        moves=(records.PayloadMove(100, 700), records.PayloadMove(500, 701)),
    )
    again = records.PayloadMoved(job_id="j1", moves=(records.PayloadMove(500, 800),))
    ledger, names = replay(job(counts=(4, 1)), results((0, 4)), move, again)
    state = ledger.jobs_by_id["j1"]
    assert state.chunk(0).payload_offset == 700
    assert state.results(0)[0].payload_offset == 701
    assert names[-2:] == ["PayloadMovedEvent", REASON.NOTHING_NEW]


def test_payload_of_ended_job_is_not_moved():
    """The manifest may already reference the old offsets."""
    move = records.PayloadMoved(job_id="j1", moves=(records.PayloadMove(500, 701),))
    ledger, names = replay(job(), results((0, 4)), move)
    assert ledger.jobs_by_id["j1"].results(0)[0].payload_offset == 500
    assert names[-1] is REASON.JOB_ENDED


@pytest.mark.parametrize(
    "entry",
    [
        job("j3"),
        results((1, 1)),
        complete(at=500),
        records.JobRetired(job_id="ended", manifest_offset=500),
        records.PayloadMoved(job_id="j1", moves=(records.PayloadMove(100, 500),)),
        records.ManifestMoved(
            job_id="retired", from_offset=150, to_offset=601, oldest_offset=500
        ),
        records.CallPayloadMoved(
            owner="mwangaza", key="k2", from_offset=120, to_offset=500
        ),
    ],
)
@pytest.mark.parametrize("raised", [False, True])
def test_references_below_payload_floor_are_rejected(entry, raised):
    """A VM was paused between writing the payload and recording the reference."""
    ledger, _ = replay(
        job(),
        job("ended"),
        cancel("ended"),
        job("retired"),
        results((0, 4), job_id="retired"),
        records.JobRetired(job_id="retired", manifest_offset=150),
        call(),
        call(key="k2"),
        complete(key="k2", at=120),
        records.PayloadFloorRaised(before_offset=501 if raised else 1),
        records.PayloadFloorRaised(before_offset=1),
    )
    _, names = replay(entry, ledger=ledger)
    assert (names == [REASON.PAYLOAD_EXPIRED]) is raised


def test_fencing_numbers_grow():
    def take(holder):
        return records.FenceTaken(scope="e1", holder=holder, lease_ms=5)

    ledger = Ledger()
    first, second = ledger.apply(7, envelope(1, take("a"), take("b")))
    assert (first.number, second.number) == (8, 9)
    assert (second.previous_holder, second.previous_lease_ms) == ("a", 5)
