import msgspec
import pytest

from foxtailbank.completion import CHAT_PATH, COMPLETIONS_PATH
from foxtailbank.completion_collector import CompletionCollector
from foxtailbank.sse import DONE_EVENT, TokenEventBuffer


def event(index, *, text="", reason=None, path=COMPLETIONS_PATH, usage=None):
    added = {"delta": {"content": text}} if path == CHAT_PATH else {"text": text}
    body = {
        "id": "a",
        "token_index": index,
        "choices": [{**added, "finish_reason": reason}],
    }
    if usage:
        body |= {"choices": [], "usage": usage}
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def text_of(body, path):
    choice = body["choices"][0]
    return choice["message"]["content"] if path == CHAT_PATH else choice["text"]


@pytest.mark.anyio
@pytest.mark.parametrize("path", [COMPLETIONS_PATH, CHAT_PATH])
@pytest.mark.parametrize("overlap", [0, 1, 2])
async def test_two_attempts_give_a_complete_answer(path, overlap):
    words = ["a ", "b ", "c ", "d"]
    collector = CompletionCollector(path=path)
    await collector.start(status=200, headers=())
    for index in (0, 1):
        await collector.write(event(index, text=words[index], path=path))
    for index in range(2 - overlap, 4):
        await collector.write(event(index, text=words[index], path=path))
    end = event(4, reason="stop", path=path) + event(4, usage={"prompt_tokens": 3})
    await collector.write(end + DONE_EVENT)
    body = collector.body()
    assert text_of(body, path) == "a b c d"
    assert body["usage"] == {
        "prompt_tokens": 3,
        "completion_tokens": 4,
        "total_tokens": 7,
    }
    assert body["choices"][0]["finish_reason"] == "stop"


@pytest.mark.anyio
async def test_endpoint_error_is_returned_unchanged():
    collector = CompletionCollector(path=COMPLETIONS_PATH)
    await collector.start(status=400, headers=())
    await collector.write(b'{"error":{"message":"too long"}}')
    assert bytes(collector.body()) == b'{"error":{"message":"too long"}}'


CASES = [
    ("nothing yet", b"", 0),
    ("half an event", event(0, text="a")[:-5], 0),
    ("one event", event(0, text="a"), 1),
    ("one event and a half", event(0, text="a") + event(1, text="b")[:9], 1),
    ("before the end", event(0, text="a") + event(1, reason="stop"), 1),
    ("usage last", event(0, text="a") + event(1, usage={"prompt_tokens": 1}), 1),
]


@pytest.mark.parametrize("data, expected", [case[1:] for case in CASES])
@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_broken_stream_resumes_at_its_first_missing_token(data, expected, step):
    tail = TokenEventBuffer()
    forwarded = b"".join(
        tail.feed(data[i : i + step]) for i in range(0, len(data), step)
    )
    assert data.startswith(forwarded)
    assert forwarded == b"" or forwarded.endswith(b"\n\n")
    assert tail.next_index(0) == expected
    assert not tail.done
