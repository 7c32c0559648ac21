"""A sound item of a batch job under which several engines crash is still completed."""

import contextlib
import itertools

import anyio
import msgspec
import pytest

from foxtailbank.batch_limit import UnlimitedBatchLimit
from foxtailbank.batch_order import BatchOrder
from foxtailbank.clock import SystemClock
from foxtailbank.dispatcher import Dispatcher
from foxtailbank.endpoint import Endpoint, EndpointResponse
from foxtailbank.endpoint_batch import EndpointBatch
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.entry import Entry, EntryKind, WorkClass
from foxtailbank.exceptions import EndpointFailed, EndpointRefused
from foxtailbank.fleet_observer import FleetObserver
from foxtailbank.item_runner import MAX_ATTEMPTS, MAX_FAILURES, ItemRunner
from foxtailbank.open_chunk import OpenChunk
from foxtailbank.preemption import LeastProgress
from foxtailbank.quarantine import TOKENS_TO_CLEAR, Quarantine
from foxtailbank.quarantine_exchange import QuarantineExchange
from foxtailbank.retry_budget import RetryBudget
from foxtailbank.routing import RoundRobinRouter
from foxtailbank.sse import DONE_EVENT
from foxtailbank.suspect_gate import SuspectGate
from foxtailbank.vm_list import Vm, VmRole
from foxtailbank.work import Work, fingerprint_of
from serving_fakes import make_logs

pytestmark = pytest.mark.anyio
POOL = "wordsmith"
TOKENS = 1_000
ENGINE_COUNT = 24
DEADLINE_MS = 10_000
ENTRY = Entry(
    name="notices",
    owner="mwangaza",
    work_class=WorkClass.BATCH,
    kind=EntryKind.ENGINE,
    pool=POOL,
    model=POOL,
    key_hashes=(f"sha256:{'0' * 64}",),
)
LINE = msgspec.json.encode(
    {
        "custom_id": "n-1",
        "body": {"model": POOL, "prompt": "In loving memory", "max_tokens": TOKENS},
    }
)


def make_work(**changes):
    fields = {
        "request_id": "q",
        "entry": ENTRY,
        "method": "POST",
        "path": "/v1/completions",
        "headers": (),
        "body": b"{}",
        "streamed": True,
        "batch": True,
        "idempotent": True,
        "fingerprint": fingerprint_of("mwangaza", b"{}"),
        "prefix_digest": 0,
        "max_tokens": TOKENS,
        "deadline_at_ms": SystemClock().now_ms() + DEADLINE_MS,
    }
    return Work(**{**fields, **changes})


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakePeering:
    """The connections of a VM that has no peers."""

    def live_peers(self):
        return ()

    def notify_all(self, message):
        """Drop a message, as there is no VM to receive it."""


class FakeStream(EndpointResponse):
    """Stream of tokens that breaks off if the engine crashes before its end."""

    status = 200
    headers = ()

    def __init__(self, *, start, end):
        self._start = start
        self._end = end

    async def chunks(self):
        for index in range(self._start, self._end):
            event = {"id": "c", "token_index": index, "choices": [{"text": "t"}]}
            yield b"data: " + msgspec.json.encode(event) + b"\n\n"
        if self._end < TOKENS:
            raise EndpointFailed(detail="connection reset")
        yield DONE_EVENT


class FakeEngine(Endpoint):
    """Engine that crashes, for good, after the tokens that are next in a list."""

    def __init__(self, crashes):
        self._crashes = crashes
        self.is_down = False

    @contextlib.asynccontextmanager
    async def open(self, call):
        if self.is_down:
            raise EndpointRefused(detail="refused")
        end = TOKENS
        if self._crashes:
            end = call.resume_at + self._crashes.pop(0)
            self.is_down = True
        yield FakeStream(start=call.resume_at, end=end)

    async def load(self):
        if self.is_down:
            raise EndpointRefused(detail="refused")

    async def is_leaving(self):
        return False

    async def cancel(self, *, request_id):
        raise NotImplementedError

    cache_events = order = state = export_kv = import_kv = cancel


class Fleet:
    """One VM and engines, of which the first that run the item crash."""

    def __init__(self, *crashes, engines_by_id=None, versions=("1",)):
        clock = SystemClock()
        logs = make_logs()
        peering = FakePeering()
        quarantine = Quarantine()
        remaining = list(crashes)
        self.engines_by_id = engines_by_id or {
            f"e{number}": FakeEngine(remaining) for number in range(ENGINE_COUNT)
        }
        self.directory = EndpointDirectory(
            factory=lambda vm: self.engines_by_id[vm.vm_id]
        )
        vms = [
            Vm(
                vm_id=vm_id,
                role=VmRole.ENGINE,
                zone="z1",
                address="a:1",
                pool=POOL,
                software_version=version,
            )
            for vm_id, version in zip(
                self.engines_by_id, itertools.cycle(versions), strict=False
            )
        ]
        self.directory.apply(vms, clock.now_ms())
        router = RoundRobinRouter()
        exchange = QuarantineExchange(
            clock=clock, quarantine=quarantine, peering=peering, logs=logs
        )
        gate = SuspectGate(
            clock=clock,
            vm_id="vm1",
            zone="z1",
            directory=self.directory,
            router=router,
            quarantine=quarantine,
            peering=peering,
        )
        observer = FleetObserver(
            clock=clock,
            vm_id="vm1",
            placement=None,
            peering=peering,
            quarantine=quarantine,
            exchange=exchange,
            logs=logs,
        )
        self.dispatcher = Dispatcher(
            clock=clock,
            zone="z1",
            directory=self.directory,
            router=router,
            quarantine=quarantine,
            retry_budget=RetryBudget(),
            gate=gate,
            observer=observer,
        )
        self.runner = ItemRunner(
            clock=clock,
            dispatcher=self.dispatcher,
            order=BatchOrder(tokens_per_s=1_000.0),
        )

    async def run_item(self):
        """Run the item until it has a result; return its result line."""
        chunk = OpenChunk(
            job_id="j", index=0, owner="mwangaza", lines=(LINE,), open_bitmap=1
        )
        with anyio.fail_after(20):
            while chunk.pending:
                position = chunk.pending.popleft()
                chunk.running.add(position)
                await self.runner.run(
                    batch=self._first_batch(),
                    chunk=chunk,
                    position=position,
                    entry=ENTRY,
                    deadline_ms=0,
                    request_id="q",
                )
        return msgspec.json.decode(chunk.pop_results().body)

    def _first_batch(self):
        """Return the batch state of the first engine that is up."""
        up = next(i for i, engine in self.engines_by_id.items() if not engine.is_down)
        return EndpointBatch(
            backend=self.directory.backends_by_id[up],
            limit=UnlimitedBatchLimit(),
            preemption=LeastProgress(),
        )

    @property
    def crashed_count(self):
        return sum(engine.is_down for engine in self.engines_by_id.values())


# A sound item gets a typed failure in place of a result because engines crashed.
@pytest.mark.parametrize(
    "crashes",
    [
        pytest.param([0], id="once"),
        pytest.param([0, 0], id="twice-without-progress"),
        pytest.param([TOKENS_TO_CLEAR] * 2, id="twice-with-progress"),
        pytest.param([TOKENS_TO_CLEAR] * MAX_ATTEMPTS, id="often-with-progress"),
    ],
)
async def test_a_sound_item_is_completed_after_engines_crashed_under_it(crashes):
    fleet = Fleet(*crashes)
    result = await fleet.run_item()
    assert fleet.crashed_count == len(crashes)
    assert result["error"] is None
    assert result["response"]["body"]["choices"][0]["text"] == "t" * TOKENS


# An item that crashes each engine that runs it is sent to ever more engines.
@pytest.mark.parametrize(
    ("first", "others", "code", "most_crashes"),
    [
        pytest.param(0, 0, "quarantined", MAX_ATTEMPTS, id="at-the-start"),
        pytest.param(40, 0, "quarantined", MAX_ATTEMPTS, id="in-the-output"),
        pytest.param(
            TOKENS_TO_CLEAR,
            TOKENS_TO_CLEAR,
            "endpoint_failed",
            MAX_FAILURES,
            id="always-after-progress",
        ),
    ],
)
async def test_an_item_that_crashes_each_engine_ends_as_a_typed_failure(
    first, others, code, most_crashes
):
    fleet = Fleet(first, *[others] * ENGINE_COUNT)
    result = await fleet.run_item()
    assert result["error"]["code"] == code
    assert fleet.crashed_count <= most_crashes
