"""Streams are not joined of two versions where a VM's list of workers is late.

A worker may start again under its id with another software version. A VM that stood
still, or was cut off, or just reads the list late, believes in the earlier process.
"""

import dataclasses

import pytest

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.version_history import VersionRecord
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ConnectionBroken
from serving_fakes import (
    FakeResponse,
    ServingWorld,
    make_call,
    make_route,
    make_worker,
)

pytestmark = pytest.mark.anyio
FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=3)
BORN_MS = 1_000_000
KEY_OF_STREAM = {"stream_id": "s1", "resume_after": "1"}
V1 = StreamOrigin(service="s", software_version="v1")
V2 = StreamOrigin(service="s", software_version="v2")
UNKNOWN = StreamOrigin.unknown("s")


def worker(number, version, born_ms=BORN_MS):
    listed = make_worker(f"w{number}", software_version=version)
    return dataclasses.replace(listed, started_wall_ms=born_ms)


class LateWorld(ServingWorld):
    """A VM that believes in two workers of version v1.

    Reading the list to its end tells it of `late` workers; without any the list can't
    be read.
    """

    def __init__(self, *script, late):
        super().__init__(*script, worker_count=0)
        self.late = late
        for number in range(2):
            self.fleet.workers.put(worker(number, "v1"))
        self.fleet.origins.set_list_sync(self._read_list)

    async def _read_list(self):
        if self.late is None:
            raise FoxtailbankError(detail="the store is away")
        for listed in self.late:
            self.fleet.on_listed(listed)

    def call(self, **fields):
        return make_call(self.clock, **fields)

    def break_connections(self):
        for listed in self.fleet.workers.all():
            self.fleet.on_exchange_failure(listed, ConnectionBroken())

    async def take_up(self, origin=V1):
        call = self.call(**KEY_OF_STREAM)
        if origin is not None:
            self.fleet.origins.record(call.stream_key, origin)
        return await self.serve(RESUMABLE, **KEY_OF_STREAM)


def replaced(*numbers, born_ms=BORN_MS + 1):
    return [worker(number, "v2", born_ms) for number in numbers]


@pytest.mark.parametrize(
    ("late", "breaks", "origin", "sent_to"),
    [
        pytest.param([], False, V1, {"w0", "w1"}, id="nothing-changed"),
        pytest.param([], True, V1, {"w0", "w1"}, id="connections-broke"),
        pytest.param(replaced(0), True, V1, {"w1"}, id="one-replaced"),
        pytest.param(replaced(0, 1), True, V1, set(), id="all-replaced"),
        pytest.param(replaced(0, 1), False, V1, set(), id="all-replaced-unnoticed"),
        pytest.param(replaced(2, 3), False, V1, {"w0", "w1"}, id="others-joined"),
        pytest.param(replaced(2), False, V2, {"w2"}, id="begun-at-one-that-joined"),
        pytest.param(replaced(2, 3), False, None, set(), id="origin-unknown"),
        pytest.param(None, False, V1, {"w0", "w1"}, id="no-list"),
        pytest.param(None, True, V1, set(), id="no-list-and-connections-broke"),
        pytest.param(replaced(0, 1), True, UNKNOWN, set(), id="origin-in-doubt"),
    ],
)
# Guards against a take-up that goes on at another version at a VM out of step.
async def test_a_take_up_goes_on_only_at_the_process_it_means(
    late, breaks, origin, sent_to
):
    world = LateWorld(*[FakeResponse(parts=(SECOND,))] * 3, late=late)
    if breaks:
        world.break_connections()
    seen = await world.take_up(origin)
    used = {worker_id for worker_id, *_ in world.client.sent}
    assert used <= sent_to or not seen.body
    assert (seen.status, seen.body) == (
        (200, SECOND) if sent_to else (seen.status, b"")
    )
    assert sent_to or seen.status in (502, 503)


# Guards against one answer that holds events of two versions (review/3).
async def test_a_stream_that_breaks_does_not_go_on_at_processes_that_came_back():
    world = LateWorld(
        FakeResponse(parts=(FIRST, ConnectionBroken())),
        FakeResponse(parts=(SECOND,)),
        late=[],
    )
    world.client.on_send = lambda: world.late.extend(replaced(0, 1))
    seen = await world.serve(RESUMABLE)
    assert (seen.body, seen.complete) == (FIRST, False)


@pytest.mark.parametrize(
    ("late", "breaks", "origin"),
    [
        pytest.param([], False, V1, id="in-step"),
        pytest.param(replaced(0, 1), False, V1, id="corrected-later"),
        pytest.param(replaced(0, 1), True, V2, id="replaced"),
        pytest.param([], True, V1, id="connections-broke"),
        pytest.param(None, True, UNKNOWN, id="no-list-and-connections-broke"),
        pytest.param(None, False, V1, id="no-list"),
    ],
)
# Guards against an origin that is recorded, and spread, by a late list.
async def test_a_stream_is_recorded_under_the_version_that_writes_it(
    late, breaks, origin
):
    world = LateWorld(FakeResponse(parts=(FIRST, SECOND)), late=late)
    if breaks:
        world.break_connections()
    await world.serve(RESUMABLE)
    assert world.fleet.origins.get(world.call().stream_key) == origin


@pytest.mark.parametrize(
    ("born_after_ms", "origin"),
    [
        pytest.param(-5_000, V2, id="long-before-the-stream"),
        pytest.param(-500, UNKNOWN, id="within-the-error-of-clocks"),
        pytest.param(500, UNKNOWN, id="within-the-error-of-clocks-after"),
        pytest.param(5_000, V1, id="long-after-the-stream"),
    ],
)
# The list tells late that a worker had another process when a stream began there.
async def test_origins_are_corrected_when_the_list_catches_up(born_after_ms, origin):
    world = LateWorld(FakeResponse(parts=(FIRST, SECOND)), late=[])
    await world.serve(RESUMABLE)
    key = world.call().stream_key
    assert world.fleet.origins.get(key) == V1
    born_ms = world.clock.wall_ms() + born_after_ms
    for listed in replaced(0, 1, born_ms=born_ms):
        world.fleet.on_listed(listed)
    assert world.fleet.origins.get(key) == origin


@pytest.mark.parametrize("origin", [V1, UNKNOWN])
def test_a_stream_in_doubt_may_go_on_nowhere(origin):
    assert origin.may_continue_at(worker(0, "v1")) == (origin == V1)
    assert not origin.may_continue_at(worker(0, "v2"))
    assert not origin.may_continue_at(worker(0, ""))


@pytest.mark.parametrize(("is_readable", "status"), [(True, 200), (False, 503)])
# A VM that has just read the list relies on the records of versions: up to their end.
async def test_late_records_of_versions_name_no_sole_one(is_readable, status):
    world = LateWorld(FakeResponse(parts=(SECOND,)), late=[])
    reads = []

    async def read_records():
        reads.append(1)
        if not is_readable:
            raise FoxtailbankError(detail="the store is away")

    world.fleet.origins.set_records_sync(read_records)
    world.fleet.versions.on_list_restored(world.clock.now_ms())
    world.fleet.versions.put_record(
        VersionRecord(service="s", software_version="v1", left_wall_ms=0)
    )
    world.fleet.versions.on_records_complete()
    seen = await world.take_up(origin=None)
    assert (seen.status, reads) == (status, [1])
