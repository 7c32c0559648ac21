import anyio
import msgspec
import openai
import pytest

from engine_client import (
    CHAT_PATH,
    TEST_TIMEOUT_S,
    TEXT_PATH,
    EngineClient,
    events_of,
    make_call,
    running_engine,
    text_of,
)
from foxtailbank import exceptions
from foxtailbank.endpoint import Order
from foxtailbank.weight_store import Weights
from foxtailbank_bench.journal import Journal, JournalEntry
from foxtailbank_bench.platform_app import PlatformApp
from foxtailbank_bench.prefix_cache import BLOCK_BYTES, PrefixCache, prefix_digests
from foxtailbank_bench.program import started
from foxtailbank_bench.serving import running
from foxtailbank_bench.step_loop import EngineRates

pytestmark = pytest.mark.anyio
SLOW_RATES = EngineRates(base_step_ms=20)
LONG_TOKENS = 512


@pytest.mark.parametrize("path", [TEXT_PATH, CHAT_PATH])
async def test_stream_has_the_same_text_as_the_full_response(path):
    async with running_engine() as server:
        full = await server.endpoint.call(make_call(path=path))
        options = {"stream": True, "stream_options": {"include_usage": True}}
        streamed = await server.endpoint.call(make_call(path=path, **options))
    full = msgspec.json.decode(full.body)
    *chunks, end, usage = events_of(streamed.body)
    assert [chunk["token_index"] for chunk in chunks] == list(range(8))
    text = "".join(text_of(chunk["choices"][0]) for chunk in chunks)
    assert text == text_of(full["choices"][0])
    assert end["choices"][0]["finish_reason"] == "length"
    assert full["choices"][0]["finish_reason"] == "length"
    assert usage["usage"] == full["usage"]
    assert full["usage"]["completion_tokens"] == 8


@pytest.mark.parametrize("resume_at", [1, 3, 8, 20])
async def test_resumed_stream_continues_the_lost_one(resume_at):
    lost = make_call(stream=True, request_id="r")
    async with running_engine() as first:
        body = (await first.endpoint.call(lost)).body
    async with running_engine() as second:
        rest = make_call(stream=True, request_id="r", resume_at=resume_at)
        resumed = (await second.endpoint.call(rest)).body
        entry = await second.outcome("r")
    events = body.split(b"\n\n")
    assert resumed == b"\n\n".join(events[min(resume_at, 8) :])
    assert (entry.resume_at, entry.tokens) == (resume_at, max(0, 8 - resume_at))


async def test_tokens_depend_on_model_and_prompt_only():
    async with running_engine() as server:
        one = await server.endpoint.call(make_call(prompt="a", request_id="x"))
        same = await server.endpoint.call(make_call(prompt="a", request_id="x"))
        other = await server.endpoint.call(make_call(prompt="b", request_id="x"))
    assert one.body == same.body != other.body


async def test_openai_client_parses_the_responses():
    async with running_engine() as server:
        client = openai.AsyncOpenAI(
            base_url=f"http://{server.address}/v1", api_key="none", max_retries=0
        )
        async with client:
            messages = [{"role": "user", "content": "hello"}]
            options = {"model": "wordsmith", "messages": messages, "max_tokens": 5}
            full = await client.chat.completions.create(**options)
            stream = await client.chat.completions.create(stream=True, **options)
            chunks = [chunk.choices[0].delta.content async for chunk in stream]
            assert "".join(filter(None, chunks)) == full.choices[0].message.content
            models = await client.models.list()
            assert [model.id for model in models.data] == ["wordsmith"]
            with pytest.raises(openai.BadRequestError):
                await client.chat.completions.create(**{**options, "n": 2})


@pytest.mark.parametrize(
    ("faults", "fields"),
    [
        ({"drain": True}, {}),
        ({"reject": True}, {}),
        ({}, {"model": "other"}),
    ],
)
async def test_requests_not_admitted_are_not_journalled(faults, fields):
    async with running_engine() as server:
        await server.control.set_faults(**faults)
        with pytest.raises(exceptions.EndpointRefused) as caught:
            await server.endpoint.call(make_call(**fields))
        assert caught.value.ran is exceptions.Ran.NO
        assert await server.control.journal() == []


@pytest.mark.parametrize(
    ("prompts", "resume_at", "expected_ms"),
    [
        ([""], 0, 13),
        (["x" * BLOCK_BYTES], 0, 13 + 6.4),
        (["x" * BLOCK_BYTES, "x" * BLOCK_BYTES], 0, 13),
        (["x" * BLOCK_BYTES, "x" * BLOCK_BYTES + "y" * 40], 0, 13 + 1),
        ([""], 30, 13 + 3),
    ],
)
async def test_step_duration_counts_streams_and_uncached_tokens(
    prompts, resume_at, expected_ms
):
    rates = EngineRates(base_step_ms=10, per_stream_ms=3, prefill_us_per_token=100)
    async with running_engine(rates=rates) as server:
        for prompt in prompts:
            fields = {"prompt": prompt, "max_tokens": resume_at + 1}
            await server.endpoint.call(make_call(resume_at=resume_at, **fields))
        report = await server.endpoint.load()
    assert report.step_ms == pytest.approx(expected_ms)


async def test_full_queue_admits_nothing_until_a_slot_is_free():
    rates = EngineRates(base_step_ms=20, max_running=1, max_waiting=0)
    async with running_engine(rates=rates) as server:
        long = make_call(stream=True, max_tokens=LONG_TOKENS, request_id="long")
        async with server.endpoint.open(long) as response:
            chunks = response.chunks()
            await anext(chunks)
            with pytest.raises(exceptions.EndpointRefused):
                await server.endpoint.call(make_call())
        await server.outcome("long")
        assert (await server.endpoint.call(make_call())).status == 200


@pytest.mark.parametrize("cancel_by", ["call", "closed connection"])
async def test_cancel_frees_the_slot(cancel_by):
    rates = EngineRates(base_step_ms=20, max_running=1)
    async with running_engine(rates=rates) as server:
        long = make_call(stream=True, max_tokens=LONG_TOKENS, request_id="long")
        async with server.endpoint.open(long) as response:
            chunks = response.chunks()
            await anext(chunks)
            if cancel_by == "call":
                await server.endpoint.cancel(request_id="long")
                rest = b"".join([chunk async for chunk in chunks])
                (end,) = events_of(rest)[-1:]
                assert end["choices"][0]["finish_reason"] == "cancelled"
        entry = await server.outcome("long")
        assert entry.outcome == "cancelled"
        assert entry.tokens < LONG_TOKENS
        assert (await server.endpoint.call(make_call())).status == 200


async def test_cancel_of_an_unknown_request_changes_nothing():
    async with running_engine() as server:
        await server.endpoint.cancel(request_id="never/seen")


@pytest.mark.parametrize("stream", [False, True])
async def test_stalled_connections_stay_silent_while_new_ones_work(stream):
    async with running_engine(rates=SLOW_RATES, timeouts={"stall_ms": 500}) as server:
        long = make_call(stream=True, max_tokens=LONG_TOKENS)
        async with server.endpoint.open(long) as response:
            chunks = response.chunks()
            await anext(chunks)
            await server.control.set_faults(stall_open=True)
            with pytest.raises(exceptions.EndpointStalled):
                while True:
                    await anext(chunks)
        assert (await server.endpoint.call(make_call(stream=stream))).status == 200


async def test_stalled_pooled_connection_is_replaced():
    async with running_engine(timeouts={"control_ms": 500}) as server:
        await server.endpoint.load()
        await server.control.set_faults(stall_open=True)
        with pytest.raises(exceptions.EndpointStalled):
            await server.endpoint.load()
        await server.endpoint.load()


async def test_load_report_lags():
    rates = EngineRates(base_step_ms=20, max_running=7)
    async with running_engine(rates=rates, report_lag_ms=3_600_000) as server:
        long = make_call(stream=True, max_tokens=LONG_TOKENS)
        async with server.endpoint.open(long) as response:
            chunks = response.chunks()
            await anext(chunks)
            report = await server.endpoint.load()
            assert (report.running, report.age_ms) == (0, 3_600_000)
            await server.control.set_faults(report_lag_ms=0, drain=True)
            report = await server.endpoint.load()
            assert (report.running, report.waiting, report.max_running) == (1, 0, 7)
            assert report.draining


def prompt_of(blocks):
    return "".join(str(number % 10) * BLOCK_BYTES for number in range(blocks))


async def test_cache_events_have_gaps_and_start_after_a_number():
    async with running_engine() as server:
        await server.endpoint.call(make_call(prompt=prompt_of(20)))
        events = await server.endpoint.cache_events(since=2)
        assert [event.sequence for event in events] == [*range(3, 16), *range(17, 21)]
        assert await server.endpoint.cache_events(since=20) == ()


async def test_cache_evicts_the_least_recently_used_prefix():
    cache = PrefixCache(max_blocks=3)
    old = prefix_digests(prompt_of(2).encode())
    new = prefix_digests(b"z" * BLOCK_BYTES * 2)
    cache.store(old, now_ms=1)
    cache.store(new, now_ms=2)
    assert cache.cached_blocks(old) == 1
    assert cache.cached_blocks(new) == 2
    evicted = [item for item in cache.events(since=0, until_ms=2) if not item.stored]
    assert [item.prefix for item in evicted] == [old[1]]
    assert len(cache.events(since=0, until_ms=1)) == 2


async def test_exported_kv_is_imported_by_another_engine():
    prompt = prompt_of(3)
    prefix = prefix_digests(prompt.encode())[-1]
    async with running_engine() as first, running_engine() as second:
        assert await first.endpoint.export_kv(prefix=prefix) == b""
        await first.endpoint.call(make_call(prompt=prompt))
        content = await first.endpoint.export_kv(prefix=prefix)
        await second.endpoint.import_kv(prefix=prefix, content=content)
        assert await second.endpoint.export_kv(prefix=prefix) == content
        events = await second.endpoint.cache_events(since=0)
        assert {event.prefix for event in events} == set(
            prefix_digests(prompt.encode())
        )


async def wait_until_idle(server):
    while True:
        state = await server.endpoint.state()
        if not state.busy:
            return state
        await anyio.sleep(0.01)


@pytest.mark.parametrize(("check_fence", "role"), [(True, "new"), (False, "old")])
async def test_stale_fence_is_refused_where_it_is_checked(check_fence, role):
    async with running_engine(check_fence=check_fence) as server:
        await server.endpoint.order(Order(fence=5, kind="set_role", target="new"))
        assert (await wait_until_idle(server)).role == "new"
        stale = Order(fence=4, kind="set_role", target="old")
        if check_fence:
            with pytest.raises(exceptions.EndpointRefused):
                await server.endpoint.order(stale)
        else:
            await server.endpoint.order(stale)
        state = await wait_until_idle(server)
        assert (state.role, state.fence) == (role, 5 if check_fence else 0)


async def test_model_is_loaded_from_the_weight_store():
    weights = (Weights(name="clerk", version="7", size_bytes=200),)
    store = PlatformApp(weights=weights, weight_rate_bytes_per_s=1_000)
    order = Order(fence=1, kind="load_model", target="clerk", version="7")
    async with (
        running(store) as address,
        running_engine(weights_address=address) as server,
    ):
        await server.endpoint.order(order)
        with pytest.raises(exceptions.EndpointRefused):
            await server.endpoint.order(order)
        state = await wait_until_idle(server)
        assert state.models == (("wordsmith", "1"), ("clerk", "7"))
        assert (await server.endpoint.call(make_call(model="clerk"))).status == 200
        unknown = Order(fence=2, kind="load_adapter", target="clerk", version="8")
        await server.endpoint.order(unknown)
        assert (await wait_until_idle(server)).adapters == ()
        unload = Order(fence=3, kind="unload_model", target="clerk")
        await server.endpoint.order(unload)
        assert (await wait_until_idle(server)).models == (("wordsmith", "1"),)


@pytest.mark.parametrize(
    "fields",
    [{"max_tokens": -1}, {"prompt": 7}, {"prompt": None}, {"n": 3}],
)
async def test_malformed_requests_are_refused(fields):
    async with running_engine() as server:
        assert (await server.endpoint.call(make_call(**fields))).status == 400
        assert await server.control.journal() == []


async def test_crash_breaks_other_streams_but_keeps_the_journal(tmp_path):
    file = tmp_path / "journal"
    arguments = ["--model", "wordsmith", "--base-step-ms", "20", "--journal", str(file)]
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with started("foxtailbank_bench.engine", *arguments) as program:
            server = EngineClient(program.address)
            long = make_call(stream=True, max_tokens=LONG_TOKENS, request_id="long")
            crashing = make_call(prompt="a __crash__ b", request_id="crash")
            async with server.endpoint.open(long) as response:
                chunks = response.chunks()
                await anext(chunks)
                with pytest.raises(exceptions.EndpointFailed) as caught:
                    await server.endpoint.call(crashing)
                assert caught.value.ran is exceptions.Ran.UNKNOWN
                with pytest.raises(exceptions.EndpointFailed):
                    while True:
                        await anext(chunks)
            assert await program.process.wait() != 0
            with pytest.raises(exceptions.EndpointRefused):
                await server.endpoint.call(make_call())
            await server.aclose()
    lines = file.read_bytes().splitlines()
    entries = [msgspec.json.decode(line, type=JournalEntry) for line in lines]
    assert [(entry.request_id, entry.outcome) for entry in entries] == [
        ("long", "running"),
        ("crash", "running"),
    ]


async def test_sigterm_lets_streams_finish():
    arguments = ["--model", "wordsmith", "--base-step-ms", "10"]
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with started("foxtailbank_bench.engine", *arguments) as program:
            server = EngineClient(program.address)
            stream = make_call(stream=True, max_tokens=20)
            async with server.endpoint.open(stream) as response:
                chunks = response.chunks()
                body = await anext(chunks)
                program.process.terminate()
                body += b"".join([chunk async for chunk in chunks])
            assert len(events_of(body)) == 21
            assert await program.process.wait() == 0
            await server.aclose()


async def test_journal_file_has_a_line_for_each_change(tmp_path):
    file = tmp_path / "journal"
    async with running_engine(journal=Journal(file=file)) as server:
        await server.endpoint.call(make_call(request_id="r"))
    lines = file.read_bytes().splitlines()
    entries = [msgspec.json.decode(line, type=JournalEntry) for line in lines]
    assert [entry.outcome for entry in entries] == ["running", "done"]
    assert entries[1].tokens == 8
