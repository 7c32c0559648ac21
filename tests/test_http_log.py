import contextlib

import anyio
import pytest

from foxtailbank import exceptions
from foxtailbank.asgi import drain_body
from foxtailbank.http_log import FRAME_HEADER, HttpLogService
from foxtailbank.log_service import LogBounds
from foxtailbank_bench import asgi
from foxtailbank_bench.control import StandInControl
from foxtailbank_bench.platform_app import PlatformApp
from foxtailbank_bench.serving import running

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 30
STREAM = "ledger"
LONG_MS = 20_000


@contextlib.asynccontextmanager
async def log_of(app, **options):
    async with running(app) as address:
        log = HttpLogService(address=address, **options)
        control = StandInControl(address=address)
        try:
            yield log, control
        finally:
            await log.aclose()
            await control.aclose()


async def read_all(log, *, offset=0, max_bytes=1 << 20, wait_ms=0):
    records = await log.read(
        stream=STREAM, offset=offset, max_bytes=max_bytes, wait_ms=wait_ms
    )
    return [(record.offset, record.data) for record in records]


@pytest.mark.parametrize(
    ("offset", "max_bytes", "expected"),
    [
        (0, 100, [(0, b"a"), (1, b""), (2, b"ccc"), (3, b"d" * 50)]),
        (0, 4, [(0, b"a"), (1, b""), (2, b"ccc")]),
        (2, 1, [(2, b"ccc")]),
        (3, 10, [(3, b"d" * 50)]),
        (4, 100, []),
        (9, 100, []),
    ],
)
async def test_read_returns_records_within_the_bound(offset, max_bytes, expected):
    async with log_of(PlatformApp()) as (log, _):
        for data in (b"a", b"", b"ccc", b"d" * 50):
            await log.append(stream=STREAM, data=data)
        assert await read_all(log, offset=offset, max_bytes=max_bytes) == expected
        assert await log.bounds(stream=STREAM) == LogBounds(earliest=0, end=4)


async def test_streams_are_separate():
    async with log_of(PlatformApp()) as (log, _):
        assert await log.append(stream="a/b", data=b"1") == 0
        assert await log.append(stream="c", data=b"2") == 0
        assert await log.bounds(stream="d") == LogBounds(earliest=0, end=0)


async def test_waiting_read_returns_as_soon_as_there_is_a_record():
    async with log_of(PlatformApp()) as (log, _):
        found = []

        async def wait():
            found.extend(await read_all(log, wait_ms=LONG_MS * 10))

        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                await log.append(stream=STREAM, data=b"x")
        assert found == [(0, b"x")]


@pytest.mark.parametrize("retention", [1, 3])
async def test_offsets_below_the_retention_have_expired(retention):
    app = PlatformApp(retention_records=retention)
    async with log_of(app) as (log, _):
        for number in range(5):
            await log.append(stream=STREAM, data=b"%d" % number)
        earliest = 5 - retention
        bounds = await log.bounds(stream=STREAM)
        assert bounds == LogBounds(earliest=earliest, end=5)
        with pytest.raises(exceptions.OffsetExpired):
            await read_all(log, offset=earliest - 1)
        assert len(await read_all(log, offset=earliest)) == retention


async def test_retention_can_shrink_while_running():
    async with log_of(PlatformApp()) as (log, control):
        for _ in range(5):
            await log.append(stream=STREAM, data=b"x")
        await control.set_faults(retention_records={STREAM: 2})
        assert await log.bounds(stream=STREAM) == LogBounds(earliest=3, end=5)


OPERATIONS = {
    "append": lambda log: log.append(stream=STREAM, data=b"x"),
    "read": lambda log: log.read(stream=STREAM, offset=0, max_bytes=10),
    "bounds": lambda log: log.bounds(stream=STREAM),
}


@pytest.mark.parametrize("operation", OPERATIONS)
@pytest.mark.parametrize(
    ("faults", "timeout_ms"),
    [({"log": "down"}, LONG_MS), ({"log": "slow", "delay_ms": 10_000}, 200)],
)
async def test_missing_response_is_unavailable_until_the_fault_ends(
    operation, faults, timeout_ms
):
    async with log_of(PlatformApp(), timeout_ms=timeout_ms) as (log, control):
        await control.set_faults(**faults)
        with pytest.raises(exceptions.LogUnavailable) as caught:
            await OPERATIONS[operation](log)
        assert caught.value.ran is exceptions.Ran.UNKNOWN
    async with log_of(PlatformApp()) as (log, control):
        await control.set_faults(**faults)
        await control.set_faults(log="up")
        await OPERATIONS[operation](log)


async def test_outage_ends_a_waiting_read():
    async with log_of(PlatformApp()) as (log, control):
        failures = []

        async def wait():
            try:
                await read_all(log, wait_ms=LONG_MS * 10)
            except exceptions.LogUnavailable as error:
                failures.append(error)

        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                await control.set_faults(log="down")
        assert len(failures) == 1


@pytest.mark.parametrize("operation", OPERATIONS)
async def test_refused_connection_means_not_executed(operation):
    async with log_of(PlatformApp()) as (log, _):
        pass
    with pytest.raises(exceptions.LogUnavailable) as caught:
        await OPERATIONS[operation](log)
    assert caught.value.ran is exceptions.Ran.NO


async def test_lost_response_leaves_the_record_appended():
    async with log_of(PlatformApp()) as (log, control):
        await control.set_faults(lose_answers=2)
        for _ in range(2):
            with pytest.raises(exceptions.LogUnavailable) as caught:
                await log.append(stream=STREAM, data=b"x")
            assert caught.value.ran is exceptions.Ran.UNKNOWN
        assert await log.append(stream=STREAM, data=b"y") == 2
        assert await read_all(log) == [(0, b"x"), (1, b"x"), (2, b"y")]


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, FRAME_HEADER.pack(0, 5) + b"abc"),
        (200, FRAME_HEADER.pack(0, 5)[:7]),
        (500, b""),
        (204, b""),
    ],
)
async def test_malformed_responses_are_unavailable(status, body):
    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            return await asgi.run_lifespan(receive, send)
        await drain_body(receive)
        await asgi.respond(send, status=status, body=body)

    async with log_of(app) as (log, _):
        with pytest.raises(exceptions.LogUnavailable):
            await read_all(log)
