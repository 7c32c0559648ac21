"""Closed submissions are dropped from the log after their retention time."""

import dataclasses

import anyio
import pytest

from fake_texts import make_texts
from foxtailbank.keyed_log import LogSlice
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.records import encode
from foxtailbank.submissions.retirement import RETENTION_MS, Retirement
from foxtailbank.submissions.submission_table import SubmissionTable
from serving_fakes import FakeKeyedLog, make_logs, manual_clock
from test_submission_ledger import item_ended, make_submitted

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    ("me", "results", "age_ms", "is_dropped"),
    [
        pytest.param("vm/1", "ab", RETENTION_MS, True, id="own"),
        pytest.param("vm/1", "ab", RETENTION_MS - 2_000, False, id="too-early"),
        pytest.param("vm/1", "a", RETENTION_MS, False, id="still-open"),
        pytest.param("other/1", "ab", RETENTION_MS, False, id="left-to-its-owner"),
        pytest.param("other/1", "ab", 2 * RETENTION_MS, True, id="owner-departed"),
    ],
)
async def test_expired_submissions_are_dropped(me, results, age_ms, is_dropped):
    clock = manual_clock()
    log = FakeKeyedLog()
    book = SubmissionTable(logs=make_logs())
    records = [make_submitted(), *(item_ended("s1", item) for item in results)]
    stored = tuple(
        dataclasses.replace(encode(record, key_suffix=str(offset)), offset=offset)
        for offset, record in enumerate(records)
    )
    book.restore(LogSlice(records=stored, end=len(stored)))
    appends = AppendQueue(
        log=log, producer=me, call_bytes=9_999, logs=make_logs(), clock=clock
    )
    retirement = Retirement(
        owner_id=me,
        table=book,
        appends=appends,
        texts=make_texts(appends, clock),
        logs=make_logs(),
        clock=clock,
    )
    clock.advance(age_ms)
    retirement.retire_expired()
    retirement.retire_expired()
    assert appends.is_empty != is_dropped
    if not is_dropped:
        return
    async with anyio.create_task_group() as group:
        group.start_soon(appends.run)
        with anyio.fail_after(10):
            while not log.records:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert sorted(r.key for r in log.records) == sorted(r.key for r in stored)
    book.apply_records(LogSlice(records=tuple(log.records), end=len(log.records)))
    assert book.ledger.get("s1") is None
    assert book.ledger.waiting_tokens("r") == 0
