"""Output of the product's own engines while two software versions serve."""

import anyio
import pytest

from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.exceptions import FoxtailbankError
from test_crashed_batch_items import TOKENS, Fleet, make_work

pytestmark = pytest.mark.anyio
PATH = "/v1/completions"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def tokens_of(collector):
    return collector.body()["choices"][0]["text"].count("t")


# Guards against a stream of the product's engines that goes on at another version.
@pytest.mark.parametrize(
    ("versions", "is_continued"),
    [
        pytest.param(("1", "1", "2"), True, id="same-version"),
        pytest.param(("1",) + ("2",) * 23, False, id="other-versions"),
        pytest.param(("",), False, id="unknown"),
    ],
)
async def test_broken_stream_goes_on_only_at_the_version_that_began_it(
    versions, is_continued
):
    fleet = Fleet(10, versions=versions)
    collector = CompletionCollector(path=PATH)
    first = fleet.directory.backends_by_id["e0"]
    try:
        await fleet.dispatcher.run(make_work(), collector, first_backend=first)
    except FoxtailbankError:
        assert not is_continued
        assert collector.next_index == 10
        return
    assert is_continued
    assert tokens_of(collector) == TOKENS
    assert collector.writer.software_version == "1"


# Guards against an item of the product's engines whose output two versions wrote.
@pytest.mark.parametrize("versions", [("1", "1"), ("1", "2"), ("",)])
async def test_item_output_comes_from_one_version(versions, monkeypatch):
    written = []
    write = CompletionCollector.write

    async def record(self, chunk):
        written.append((id(self), self.writer.software_version))
        await write(self, chunk)

    monkeypatch.setattr(CompletionCollector, "write", record)
    fleet = Fleet(100, versions=versions)
    with anyio.fail_after(20):
        result = await fleet.run_item()
    assert result["response"]["body"]["choices"][0]["text"] == "t" * TOKENS
    last = written[-1][0]
    assert len({version for collector, version in written if collector == last}) == 1
    is_restarted = len({collector for collector, _ in written}) == 2
    assert is_restarted is (versions != ("1", "1"))
