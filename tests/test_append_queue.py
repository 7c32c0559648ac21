"""Appends are done exactly once when answers are lost, refused or delayed."""

import io
import json

import anyio
import pytest

from foxtailbank.clock import ManualClock, SystemClock
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.logs import Logs
from foxtailbank.submissions.append_queue import LATE_MS, AppendQueue
from serving_fakes import FakeKeyedLog, make_logs

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def record(key, size=1):
    return (KeyedRecord(key=key, value=b"x" * size),)


def make_queue(log, call_bytes=1_000):
    return AppendQueue(
        log=log,
        producer="vm/1",
        call_bytes=call_bytes,
        logs=make_logs(),
        clock=SystemClock(),
    )


def lose_one_answer(log):
    log.lose_answers = 1


def delay_one_append(log):
    log.delayed_append_count = 1


def refuse_appends(log):
    log.up = False


@pytest.mark.parametrize("fault", [lose_one_answer, delay_one_append, refuse_appends])
async def test_results_are_appended_once_and_in_order(fault):
    log = FakeKeyedLog()
    fault(log)
    queue = make_queue(log)
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        first = queue.put(record("a"), urgent=False)
        await anyio.sleep(0.1)
        last = queue.put(record("b"), urgent=False)
        await anyio.sleep(0.1)
        log.up = True
        with anyio.fail_after(10):
            await last.done.wait()
            await first.done.wait()
        log.apply_delayed_appends()
        group.cancel_scope.cancel()
    assert [r.key for r in log.records] == ["a", "b"]
    assert queue.is_empty
    assert queue.waiting_bytes == 0
    assert queue.is_available


async def test_a_refused_urgent_append_is_reported_and_never_retried():
    log = FakeKeyedLog()
    log.up = False
    queue = make_queue(log)
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        pending = queue.put(record("a"), urgent=True)
        with anyio.fail_after(10):
            await pending.done.wait()
        assert pending.end == -1
        assert not queue.is_available
        log.up = True
        later = queue.put(record("b"), urgent=True)
        with anyio.fail_after(10):
            await later.done.wait()
        group.cancel_scope.cancel()
    assert [r.key for r in log.records] == ["b"]


async def test_an_append_of_unknown_outcome_is_not_reported_refused():
    log = FakeKeyedLog()
    log.delayed_append_count = 1
    queue = make_queue(log)
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        pending = queue.put(record("a"), urgent=True)
        await anyio.sleep(0.05)
        log.up = False
        await anyio.sleep(0.4)
        assert not pending.done.is_set()
        assert not queue.withdraw(pending)
        log.up = True
        with anyio.fail_after(10):
            await pending.done.wait()
        group.cancel_scope.cancel()
    assert pending.end == 1


async def test_an_unsent_append_can_be_withdrawn():
    queue = make_queue(FakeKeyedLog())
    pending = queue.put(record("a"), urgent=True)
    assert queue.withdraw(pending)
    assert queue.is_empty


async def test_results_share_calls_up_to_the_size_limit():
    log = FakeKeyedLog()
    queue = make_queue(log, call_bytes=100)
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        for number in range(6):
            last = queue.put(record(f"k{number}", size=40), urgent=False)
        with anyio.fail_after(10):
            await last.done.wait()
        group.cancel_scope.cancel()
    assert log.appends == 3


# Guards against a stop that does not wait for the last results, since their append,
# which has no answer yet, is taken for done.
async def test_queue_is_not_empty_while_an_append_is_unanswered():
    log = FakeKeyedLog()
    log.up = False
    queue = make_queue(log)
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        last = queue.put(record("a"), urgent=False)
        await anyio.sleep(0.2)
        assert not queue.is_empty
        log.up = True
        with anyio.fail_after(10):
            await last.done.wait()
        assert queue.is_empty
        group.cancel_scope.cancel()


# Guards against results that stand late in the log though the store answers, of which
# no line tells at the usual level.
@pytest.mark.parametrize(("waited_ms", "is_written"), [(LATE_MS, 0), (LATE_MS + 1, 1)])
async def test_an_append_that_waited_long_leaves_a_line(waited_ms, is_written):
    lines = io.StringIO()
    clock = ManualClock(start_ms=1_000)
    queue = AppendQueue(
        log=FakeKeyedLog(),
        producer="vm/1",
        call_bytes=1_000,
        logs=Logs(vm="vm-1", zone="z1", stream=lines),
        clock=clock,
    )
    pending = queue.put(record("a"), urgent=True)
    clock.advance(waited_ms)
    async with anyio.create_task_group() as group:
        group.start_soon(queue.run)
        with anyio.fail_after(10):
            await pending.done.wait()
        group.cancel_scope.cancel()
    written = [json.loads(line) for line in lines.getvalue().splitlines()]
    assert [line["duration_ms"] for line in written] == [waited_ms] * is_written
    assert all(line["event"] == "results_recorded" for line in written)
