"""What the store can't take is not accepted, and stops no other record."""

import base64
import json

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fake_texts import make_texts
from foxtailbank.clock import SystemClock
from foxtailbank.keyed_log import KeyedRecord, LogSlice, StoreRefused, StoreRejected
from foxtailbank.submissions.append_queue import AppendQueue, AppendTooLarge
from foxtailbank.submissions.failures import StateUnknown
from foxtailbank.submissions.item_groups import encode_parts, split_items
from foxtailbank.submissions.ledger import Effect, Ledger
from foxtailbank.submissions.records import (
    Item,
    Progress,
    Submitted,
    decode,
    drop_progress,
    encode,
)
from foxtailbank.submissions.service import NewSubmission, SubmissionService
from foxtailbank.submissions.submission_table import SubmissionTable
from foxtailbank.tasks import run_supervised
from platform_deployment import call, make_submission, read_all, running_deployment
from platform_deployment import submit as submit_items
from serving_fakes import (
    FakeKeyedLog,
    make_follower,
    make_logs,
    make_route,
    manual_clock,
)

pytestmark = pytest.mark.anyio
NET = "127.0.62"
BODY_BYTES = 4_194_304
CALL_BYTES = 1_000
RECORD_BYTES = 400


def record(key, size=1):
    return (KeyedRecord(key=key, value=b"x" * size),)


class RejectingLog(FakeKeyedLog):
    """A log that rejects appends with a record of the key `odd`."""

    async def append(self, records, *, append_id):
        if any(record.key == "odd" for record in records):
            raise StoreRejected()
        return await super().append(records, append_id=append_id)


def make_queue(log, clock=None):
    return AppendQueue(
        log=log,
        producer="vm/1",
        call_bytes=CALL_BYTES,
        record_bytes=RECORD_BYTES,
        logs=make_logs(),
        clock=clock or manual_clock(),
    )


@pytest.mark.parametrize(
    "records",
    [
        pytest.param(record("a", RECORD_BYTES), id="record"),
        pytest.param(record("a" * 256), id="key"),
        pytest.param(record("é" * 128), id="key-of-two-byte-letters"),
        pytest.param(record("a", 300) * 4, id="call"),
    ],
)
def test_what_the_store_would_never_take_is_not_queued(records):
    queue = make_queue(FakeKeyedLog())
    with pytest.raises(AppendTooLarge):
        queue.put(records, urgent=True)
    assert queue.is_empty


@pytest.mark.parametrize("keys", [["odd"], ["a", "odd", "b"], ["odd", "odd", "a"]])
# Guards against a rejected append that is repeated ahead of all others for ever.
async def test_a_rejected_append_does_not_stop_the_others(keys):
    log = RejectingLog()
    queue = make_queue(log)
    async with anyio.create_task_group() as group:
        queued = [queue.put(record(key), urgent=False) for key in keys]
        group.start_soon(queue.run)
        queued.append(queue.put(record("last"), urgent=True))
        with anyio.fail_after(5):
            for pending in queued:
                await pending.done.wait()
        group.cancel_scope.cancel()
    sound = [key for key in keys if key != "odd"] + ["last"]
    assert [stored.key for stored in log.records] == sound
    assert [pending.end >= 0 for pending in queued] == [k != "odd" for k in keys] + [
        True
    ]
    assert queue.is_empty
    assert queue.is_available


def make_item(item_id, body=b"b", **fields):
    values = {"target": "/p/x", "headers": (("a", "b"),), "tokens": 3, **fields}
    return Item(item_id=item_id, body=body, **values)


def make_records(items, *, submission_id="s", attempt="vm/1/1", group_bytes=200):
    groups = split_items(tuple(items), group_bytes)
    submitted = Submitted(
        submission_id=submission_id,
        attempt=attempt,
        route="r",
        host="h",
        target="/p/",
        arrived_wall_ms=0,
        waiting_limit=0,
        owner="vm/1",
        items=groups[-1],
        piece_count=sum(map(len, groups)),
    )
    parts = encode_parts(submission_id, attempt, groups[:-1])
    return (*parts, encode(submitted, key_suffix=attempt))


@given(
    sizes=st.lists(st.integers(0, 1_500), min_size=1, max_size=12),
    name=st.text(min_size=1, max_size=20),
)
def test_pieces_fit_into_records_and_make_up_the_items(sizes, name):
    items = [
        make_item(f"{name}{number}", bytes(size)) for number, size in enumerate(sizes)
    ]
    records = make_records(items)
    assert all(stored.size_bytes <= RECORD_BYTES for stored in records)
    ledger = Ledger()
    for stored in records:
        effect = ledger.apply(decode(stored.value))
    assert effect is Effect.ACCEPTED
    assert list(ledger.get("s").items_by_id.values()) == items
    assert ledger.waiting_tokens("r") == 3 * len(items)


def test_an_item_with_too_large_headers_is_refused():
    with pytest.raises(AppendTooLarge):
        split_items((make_item("i", headers=(("a", "b" * RECORD_BYTES),)),), 200)


@pytest.mark.parametrize("missing", [0, 1])
# Guards against half a submission, if a VM ends between the appends of its parts.
def test_a_submission_without_all_its_parts_is_not_accepted(missing):
    records = list(make_records([make_item("i", bytes(900))]))
    del records[missing]
    table = SubmissionTable(logs=make_logs())
    table.apply_records(LogSlice(records=tuple(records), end=len(records)))
    assert table.ledger.get("s") is None


class LastRefusingLog(FakeKeyedLog):
    """A log that refuses the last record of a submission."""

    async def append(self, records, *, append_id):
        if any(record.key.startswith("submitted/") for record in records):
            raise StoreRefused()
        return await super().append(records, append_id=append_id)


async def test_parts_of_a_submission_that_was_not_accepted_are_dropped():
    clock = SystemClock()
    log = LastRefusingLog()
    queue = make_queue(log, clock)
    table = SubmissionTable(logs=make_logs())
    service = SubmissionService(
        owner_id="vm/1",
        table=table,
        follower=make_follower(log, table, clock),
        appends=queue,
        texts=make_texts(queue, clock),
        part_bytes=RECORD_BYTES // 2,
        max_stored_bytes=1 << 20,
        max_text_bytes=1 << 20,
        logs=make_logs(),
        clock=clock,
    )
    new = NewSubmission(
        submission_id="s", host="h", target="/", items=(make_item("i", bytes(3_000)),)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        with pytest.raises(StateUnknown):
            await service.submit(new, make_route())
        with anyio.fail_after(5):
            while not queue.is_empty:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    newest = {stored.key: stored.value for stored in log.records}
    assert newest
    assert not any(newest.values())
    table.apply_records(LogSlice(records=tuple(log.records), end=len(log.records)))
    assert not table.ledger.all()


LONG = "s" * 300


@pytest.mark.parametrize("submission_id", ["s", LONG, "a/b", "#a", "þ" * 200])
@pytest.mark.parametrize("item_id", ["i", "i" * 300, "i/j", "#i", "þ" * 200])
# Guards against keys that are too long, or that don't tell which ids they are of.
def test_records_of_odd_ids_have_sound_keys(submission_id, item_id):
    table = SubmissionTable(logs=make_logs())
    progress = Progress(
        submission_id=submission_id, item_id=item_id, after_event="1", texts=("t",)
    )
    dropped = drop_progress(submission_id, item_id)
    created = make_records(
        [make_item(item_id)], submission_id=submission_id, group_bytes=2_000
    )
    stored = (
        *created,
        KeyedRecord(key=dropped.key, value=encode(progress, key_suffix="x").value),
    )
    assert all(len(one.key.encode()) <= 255 for one in stored)
    table.apply_records(LogSlice(records=stored, end=2))
    submission = table.ledger.get(submission_id)
    assert set(submission.progress_by_id) == {item_id}
    table.apply_records(LogSlice(records=(dropped,), end=3))
    assert not submission.progress_by_id
    gone = KeyedRecord(key=submission.created_key, value=b"")
    table.apply_records(LogSlice(records=(gone,), end=4))
    assert table.ledger.get(submission_id) is None


def body_of(size):
    return {"body": base64.b64encode(b"x" * size).decode()}


@pytest.mark.parametrize(
    ("count", "changes", "status"),
    [
        pytest.param(200, body_of(15_000), 202, id="large-submission"),
        pytest.param(1, body_of(900_000), 202, id="large-item"),
        pytest.param(10, body_of(190_000), 202, id="large-items"),
        pytest.param(200, {"headers": {"X-A": "a" * 2_000}}, 202, id="large-headers"),
        pytest.param(1, {"id": "i" * 210}, 202, id="long-item-id"),
        pytest.param(1, {"headers": {"X-A": "a" * 300_000}}, 413, id="unsendable"),
    ],
)
# Guards against records that the store never takes and that stop all others (review/1).
async def test_all_that_is_accepted_is_listed(count, changes, status):
    async with running_deployment(net=NET) as deployment:
        deployment.publish(body_bytes=BODY_BYTES)
        deployment.start_vm()
        await deployment.until_ready()
        assert await submit_items("sound", net=NET) == 202
        options = {"count": count, "tokens": 0, "changes": changes}
        submission_id = "j" * 210
        assert await submit_items(submission_id, net=NET, **options) == status
        assert await submit_items("later", net=NET) == 202
        if status == 202:
            await read_all(deployment, submission_id, count)
        await read_all(deployment, "sound", 3)
        await read_all(deployment, "later", 3)
        assert deployment.store.too_large_appends == 0
        runs = [run for worker in deployment.workers for run in worker.runs]
    if "body" in changes:
        assert base64.b64decode(changes["body"]) in {run.body for run in runs}


# Guards against item bodies that are cut at the end of a record.
async def test_the_body_of_a_large_item_is_read_back_whole():
    async with running_deployment(net=NET) as deployment:
        deployment.publish(body_bytes=BODY_BYTES)
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.refuse = True
        body = bytes(range(256)) * 3_000
        changes = {"body": base64.b64encode(body).decode()}
        options = {"count": 1, "tokens": 0, "changes": changes}
        assert await submit_items("j1", net=NET, **options) == 202
        item_id = json.loads(make_submission(count=1))["items"][0]["id"]
        target = f"/foxtailbank/items/j1?id={item_id}"
        head, read_body = await call("GET", target, net=NET)
    assert (head.status, read_body) == (200, body)


class FailingLog(FakeKeyedLog):
    """A log whose first append raises an unexpected error after its effect."""

    async def append(self, records, *, append_id):
        end = await super().append(records, append_id=append_id)
        if self.appends == 1:
            raise ZeroDivisionError
        return end


# Guards against records that are lost with the task that appends them.
async def test_an_unexpected_error_loses_no_record():
    log = FailingLog()
    queue = make_queue(log)
    first = queue.put(record("a"), urgent=False)
    async with anyio.create_task_group() as group:
        group.start_soon(run_supervised, "append", queue.run, make_logs())
        with anyio.fail_after(5):
            await first.done.wait()
        later = queue.put(record("b"), urgent=True)
        with anyio.fail_after(5):
            await later.done.wait()
        group.cancel_scope.cancel()
    assert [stored.key for stored in log.records] == ["a", "b"]
    assert queue.is_empty
