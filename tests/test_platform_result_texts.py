"""Outputs that are kept apart, with the store's calls over loopback sockets."""

import pytest

from foxtailbank_platform.main import TEXTS_TOPIC
from platform_deployment import call, read_all, running_deployment, submit
from test_store_client import ScriptedStore, make_page

pytestmark = pytest.mark.anyio
NET = "127.0.112"
EVENT_COUNT = 400
TEXT = "\n".join(f"e{number}" for number in range(1, EVENT_COUNT + 1))
SLOW_STORE = "platform.read_mb_s=0.4\n"  # two VMs' reads of an output take 8 ms


@pytest.fixture
def anyio_backend():
    return "asyncio"


def text_keys(deployment):
    """Return the keys in the log of texts whose newest record has a value."""
    newest = dict(deployment.store._topics.get(TEXTS_TOPIC, ()))
    return [key for key, value in newest.items() if value]


# Guards against results whose text no other VM, and no later process, can return.
@pytest.mark.parametrize("expired", [False, True])
async def test_each_vm_and_each_later_process_returns_the_texts(expired):
    async with running_deployment(net=NET) as deployment:
        for worker in deployment.workers:
            worker.events = EVENT_COUNT
            worker.event_interval_s = 0.001
        deployment.publish()
        scope = deployment.start_vm(1, SLOW_STORE)
        deployment.start_vm(2, SLOW_STORE)
        for number in (1, 2):
            await deployment.until_ready(number)
            peers = deployment.process_by_number[number]._vm.peers
            await deployment.until(lambda peers=peers: all_heard(peers))
        assert await submit("j1", net=NET, count=3) == 202
        page = await read_all(deployment, "j1", 3, number=1)
        assert [result["text"] for result in page["results"]] == [TEXT] * 3
        assert len(text_keys(deployment)) == 3
        if expired:
            deployment.store.first_by_topic[TEXTS_TOPIC] = 3
        assert await read_all(deployment, "j1", 3, number=2) == page
        scope.cancel()
        deployment.start_vm(3, SLOW_STORE)
        await deployment.until_ready(3)
        assert await read_all(deployment, "j1", 3, number=3) == page
        head, _ = await call("GET", "/foxtailbank/lots/j1?after=3", number=3, net=NET)
        assert head.status == 200


async def all_heard(peers):
    return peers.is_complete and any(peer.reads_texts for peer in peers.all())


async def test_a_span_is_asked_for_by_its_size():
    scripted = ScriptedStore(bytes(16))
    async with scripted.topic() as topic:
        await topic.read_span(start=7, size_bytes=12_000)
    (target,) = scripted.targets
    assert "from=7" in target
    assert "max_kb=13" in target


async def test_newest_records_are_read_from_a_key_on():
    scripted = ScriptedStore(make_page("text/s/a", "text/s/b", has_more=True))
    async with scripted.topic() as topic:
        records = await topic.read_newest_from("text/s/a")
    assert [record.key for record in records] == ["text/s/a", "text/s/b"]
    assert len(scripted.targets) == 1
    assert scripted.targets[0].endswith("after=text%2Fs%2F")
