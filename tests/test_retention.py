import pytest

from foxtailbank import records, retention
from foxtailbank.ledger import Ledger
from foxtailbank.log_service import LogBounds
from foxtailbank.retention import RetentionView, renewal_actions, snapshot_action
from ledger_entries import call, cancel, complete, envelope, job, results


def view(earliest=0, end=0, aged=0):
    return RetentionView(bounds=LogBounds(earliest=earliest, end=end), aged_offset=aged)


def replayed(*entries):
    ledger = Ledger()
    for offset, entry in enumerate(entries):
        ledger.apply(offset, envelope(offset + 1, entry))
    return ledger


def owns_all(_):
    return True


@pytest.mark.parametrize(
    ("retention_view", "expected"),
    [
        (view(), 0),
        (view(0, 1000), 0),
        (view(0, 1000, aged=30), 30),
        (view(100, 500), 200),
        (view(100, 500, aged=150), 200),
        (view(100, 500, aged=300), 300),
    ],
)
def test_offset_before_which_records_are_renewed(retention_view, expected):
    assert retention_view.renew_before == expected


SNAPSHOT = records.Snapshot(covers_offset=9, digest="d", payload_offsets=(60, 61))
TEN = [cancel()] * 10
NOTHING = ()


@pytest.mark.parametrize(
    ("entries", "ledger_view", "payload_view", "owned", "due"),
    [
        (NOTHING, view(), view(), True, False),
        (TEN, view(), view(), True, False),
        (TEN, view(aged=3), view(), True, True),
        (TEN, view(aged=3), view(), False, False),
        (3 * TEN, view(), view(), True, True),
        ([*TEN, SNAPSHOT, *TEN], view(), view(), True, False),
        ([*TEN, SNAPSHOT, *TEN, *TEN], view(), view(), True, True),
        ([*TEN, SNAPSHOT], view(aged=9), view(), True, False),
        ([*TEN, SNAPSHOT], view(aged=10), view(), True, True),
        ([*TEN, SNAPSHOT], view(), view(aged=60), True, False),
        ([*TEN, SNAPSHOT], view(), view(aged=61), True, True),
    ],
)
def test_snapshot(entries, ledger_view, payload_view, owned, due):
    action = snapshot_action(
        ledger=replayed(*entries),
        ledger_view=ledger_view,
        payload_view=payload_view,
        interval_records=20,
        owns=lambda _: owned,
    )
    assert (action is not None) is due


HISTORY = [
    job("running", counts=(4, 4, 4)),
    results((0, 4), job_id="running", at=50),
    results((0, 1), job_id="running", chunk=1, at=51),
    job("retired"),
    results((0, 4), job_id="retired", at=52),
    records.JobRetired(job_id="retired", manifest_offset=150),
    job("ended"),
    cancel("ended"),
    call(),
    complete(at=120),
]
RETIRE = retention.RetireJob(job_id="ended")
MANIFEST = retention.RenewManifest(job_id="retired", manifest_offset=150)
CALL_PAYLOAD = retention.RenewCallPayload(
    owner="mwangaza", key="k1", payload_offset=120
)


def renew(*offsets):
    return retention.RenewPayload(job_id="running", offsets=offsets)


@pytest.mark.parametrize(
    ("before", "expected"),
    [
        (50, [RETIRE]),
        (51, [renew(50), RETIRE]),
        (52, [renew(50, 51), RETIRE]),
        (53, [renew(50, 51), RETIRE, MANIFEST]),
        (102, [renew(50, 51, 100, 101), RETIRE, MANIFEST]),
        (121, [renew(50, 51, 100, 101, 102), RETIRE, MANIFEST, CALL_PAYLOAD]),
    ],
)
def test_renewals(before, expected):
    arguments = {"ledger": replayed(*HISTORY), "payload_view": view(aged=before)}
    assert list(renewal_actions(owns=owns_all, **arguments)) == expected
    assert list(renewal_actions(owns=lambda _: False, **arguments)) == []


@pytest.mark.parametrize(
    ("floor", "payload_view", "owned", "expected"),
    [
        (0, view(0, 1000), True, None),
        (0, view(100, 500), True, 200),
        (0, view(100, 500), False, None),
        (176, view(100, 500), True, None),
        (175, view(100, 500), True, 200),
        (0, view(0, 1000, aged=300), True, 300),
    ],
)
def test_payload_floor(floor, payload_view, owned, expected):
    ledger = replayed(records.PayloadFloorRaised(before_offset=floor))
    action = retention.floor_action(
        ledger=ledger, payload_view=payload_view, owns=lambda _: owned
    )
    assert (action.before_offset if action else None) == expected


def test_second_renewal_of_the_same_manifest_has_no_effect():
    def moved(to):
        return records.ManifestMoved(
            job_id="retired", from_offset=150, to_offset=to, oldest_offset=to - 1
        )

    ledger = replayed(*HISTORY, moved(200), moved(300))
    retired = ledger.retired_by_id["retired"]
    assert (retired.manifest_offset, retired.oldest_offset) == (200, 199)
