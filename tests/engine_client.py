"""Client of an engine stand-in, and the stand-in with its faults."""

import contextlib
import itertools

import anyio
import msgspec

from foxtailbank.endpoint import EndpointCall
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank_bench.control import StandInControl
from foxtailbank_bench.engine_app import EngineApp
from foxtailbank_bench.engine_orders import EngineOrders
from foxtailbank_bench.serving import running
from foxtailbank_bench.step_loop import EngineRates

TEST_TIMEOUT_S = 30
FAST_RATES = EngineRates(base_step_ms=1, per_stream_ms=0, prefill_us_per_token=0)
LONG_TIMEOUTS = {"control_ms": 15_000, "stall_ms": 15_000}
TEXT_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
_ids = itertools.count()


class EngineClient:
    """Endpoint adapter and control client of one engine stand-in."""

    def __init__(self, address, **timeouts):
        self.address = address
        self.endpoint = HttpEndpoint(address=address, **{**LONG_TIMEOUTS, **timeouts})
        self.control = StandInControl(address=address)

    async def aclose(self):
        await self.endpoint.aclose()
        await self.control.aclose()

    async def outcome(self, request_id):
        """Wait until a request has ended and return its journal entry."""
        while True:
            for entry in await self.control.journal():
                if entry.request_id == request_id and entry.outcome != "running":
                    return entry
            await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def running_engine(
    *,
    rates=FAST_RATES,
    weights_address="",
    check_fence=False,
    journal=None,
    timeouts=(),
    **options,
):
    app = EngineApp(
        orders=EngineOrders(
            models=(("wordsmith", "1"),),
            check_fence=check_fence,
            weights_address=weights_address,
            load_ms=0,
        ),
        rates=rates,
        crash=lambda: None,
        journal=journal,
        **options,
    )
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with running(app) as address, anyio.create_task_group() as tasks:
            tasks.start_soon(app.run)
            client = EngineClient(address, **dict(timeouts))
            try:
                yield client
            finally:
                await client.aclose()
                tasks.cancel_scope.cancel()


def make_call(*, path=TEXT_PATH, resume_at=0, request_id="", **fields):
    content = {"model": "wordsmith", "max_tokens": 8, **fields}
    if path == CHAT_PATH:
        content.setdefault("messages", [{"role": "user", "content": "hello"}])
    else:
        content.setdefault("prompt", "hello")
    return EndpointCall(
        request_id=request_id or f"r{next(_ids)}",
        method="POST",
        path=path,
        headers=(("content-type", "application/json"),),
        body=msgspec.json.encode(content),
        resume_at=resume_at,
    )


def events_of(body):
    events = [event.removeprefix(b"data: ") for event in body.split(b"\n\n")[:-1]]
    assert events[-1] == b"[DONE]"
    return [msgspec.json.decode(event) for event in events[:-1]]


def text_of(choice):
    if "delta" in choice:
        return choice["delta"].get("content", "")
    return choice["message"]["content"] if "message" in choice else choice["text"]
