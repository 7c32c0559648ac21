"""Streams and batch items that are continued while two software versions serve."""

import pytest

from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.failures import ConnectionBroken
from foxtailbank.submissions.item_placement import MAX_VERSION_WAIT_MS
from foxtailbank.submissions.records import Progress, decode, encode
from item_vm import ItemVm
from serving_fakes import FakeResponse, ServingWorld, make_route, make_worker

pytestmark = pytest.mark.anyio
FIRST = b"id: 1\ndata: a\n\n"
SECOND = b"id: 2\ndata: b\n\n"
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, max_attempts=3)
RELEASE = ("v1", "v2", "v2", "v1", "v2")  # in the order of the workers' ids


@pytest.fixture
def anyio_backend():
    return "asyncio"


class VersionedWorld(ServingWorld):
    """A VM whose first worker, which is asked first, begins each stream."""

    def __init__(self, versions, *script):
        super().__init__(*script, worker_count=0)
        for number, version in enumerate(versions):
            # Only the first one is in the zone of the VM.
            worker = make_worker(
                f"w{number}", software_version=version, zone=f"z{1 + (number > 0)}"
            )
            self.fleet.workers.put(worker)

    def sent_versions(self):
        """Return the software version of each worker that got the request."""
        return [
            self.fleet.workers.get(worker_id).software_version
            for worker_id, *_ in self.client.sent
        ]


def broken_after(*events):
    return FakeResponse(parts=(*events, ConnectionBroken()))


# Guards against the rest of a broken stream from a worker of another software version.
@pytest.mark.parametrize(
    ("versions", "begun_at"),
    [
        pytest.param(RELEASE, "v1", id="two-of-the-version"),
        pytest.param(RELEASE[:3], "v1", id="none-left"),
        pytest.param(("", "v1", "v2"), "", id="unknown"),
        pytest.param(("", "", ""), "", id="all-unknown"),
    ],
)
async def test_broken_stream_goes_on_only_at_the_version_that_began_it(
    versions, begun_at
):
    world = VersionedWorld(versions, broken_after(FIRST), FakeResponse(parts=(SECOND,)))
    seen = await world.serve(RESUMABLE)
    assert world.sent_versions()[0] == begun_at
    same_version = [version for version in versions[1:] if version == begun_at]
    if begun_at and same_version:
        assert world.sent_versions() == [begun_at, begun_at]
        assert (seen.body, seen.complete) == (FIRST + SECOND, True)
    else:
        assert len(world.client.sent) == 1
        assert (seen.body, seen.complete) == (FIRST, False)


async def test_stream_that_broke_before_its_first_event_may_go_to_any_version():
    world = VersionedWorld(
        ("v1", "v2"), broken_after(), FakeResponse(parts=(FIRST, SECOND))
    )
    seen = await world.serve(RESUMABLE)
    assert world.sent_versions() == ["v1", "v2"]
    assert (seen.body, seen.complete) == (FIRST + SECOND, True)


def item_vm(versions, *script):
    workers = [
        make_worker(f"w{number}", software_version=version)
        for number, version in enumerate(versions)
    ]
    return ItemVm(*script, workers=workers)


# Guards against the output of a batch item that two software versions wrote.
@pytest.mark.parametrize(
    ("versions", "is_continued"),
    [
        pytest.param(("v1", "v1"), True, id="same-version"),
        pytest.param(("v1", "v2"), False, id="other-version"),
        pytest.param(("", ""), False, id="unknown"),
    ],
)
async def test_broken_item_goes_on_only_at_the_version_that_began_it(
    versions, is_continued
):
    rest = (SECOND,) if is_continued else (FIRST, SECOND)
    vm = item_vm(versions, broken_after(FIRST), FakeResponse(parts=rest))
    vm.submit()
    async with vm.running():
        await vm.pass_time(1_000, until=lambda: vm.client.sent)
        began_at = vm.client.sent[0][0]
        vm.fleet.workers.remove(began_at, vm.clock.now_ms())
        await vm.send_all()
        await vm.finish_items()
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "a\nb")
    resumed_after = [sent[3] for sent in vm.client.sent]
    assert resumed_after == ["", "1" if is_continued else ""]


def saved_progress(**origin):
    return Progress(
        submission_id="s1",
        item_id="s1-i",
        after_event="1",
        texts=("a",),
        origin=StreamOrigin(service="s", **origin) if origin else None,
    )


# Guards against the output of a batch item that two software versions wrote, when a VM
# goes on from what another one saved.
@pytest.mark.parametrize(
    ("progress", "is_continued"),
    [
        pytest.param(saved_progress(software_version="v1"), True, id="same-version"),
        pytest.param(saved_progress(software_version="v0"), False, id="other-version"),
        pytest.param(saved_progress(process_id="w7/1"), False, id="other-process"),
        pytest.param(saved_progress(), False, id="saved-by-an-earlier-release"),
    ],
)
async def test_saved_output_is_continued_only_at_the_version_that_wrote_it(
    progress, is_continued
):
    rest = (SECOND,) if is_continued else (FIRST, SECOND)
    vm = item_vm(("v1", "v1"), FakeResponse(parts=rest))
    vm.submit()
    vm.table.ledger.apply(decode(encode(progress, key_suffix="s1-i").value))
    async with vm.running():
        await vm.send_all()
        await vm.finish_items()
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "a\nb")
    assert [sent[3] for sent in vm.client.sent] == ["1" if is_continued else ""]


# Guards against an item that waits for the few full workers of an old version although
# others are free.
async def test_item_starts_again_when_its_version_stays_full():
    vm = item_vm(("v1", "v2"), FakeResponse(parts=(FIRST, SECOND)))
    vm.submit()
    vm.table.ledger.apply(saved_progress(software_version="v1"))
    for _ in range(2):
        vm.fleet.loads.start("w0", LoadKind.ONLINE)
    async with vm.running():
        waited_ms = await vm.pass_time(10_000, until=lambda: vm.client.sent)
        await vm.finish_items()
    (result,) = vm.results()
    assert (result.completed, result.text) == (True, "a\nb")
    assert [(sent[0], sent[3]) for sent in vm.client.sent] == [("w1", "")]
    assert MAX_VERSION_WAIT_MS <= waited_ms <= 2 * MAX_VERSION_WAIT_MS
