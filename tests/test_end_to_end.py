"""End-to-end tests with entry VMs, endpoints and platform as separate processes."""

import json

import httpx
import openai
import pytest

from fleet_process import running_fleet
from foxtailbank_bench.demo_catalogue import CALLER_KEY

KEY = {"authorization": f"Bearer {CALLER_KEY}"}
PROMPT = {"model": "wordsmith", "prompt": "In loving memory", "max_tokens": 12}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as launcher:
        yield launcher


@pytest.fixture(params=[0, 1, 2])
def address(fleet, request):
    address = fleet.deployment.entries[request.param].http_address
    url = f"http://{address}/v1/models"
    fleet.wait_until(lambda: "wordsmith" in httpx.get(url, headers=KEY).text)
    return address


@pytest.fixture
def client(address):
    return openai.OpenAI(
        api_key=CALLER_KEY, base_url=f"http://{address}/v1", max_retries=0
    )


def test_stream_equals_complete_response(client):
    expected = client.completions.create(**PROMPT).choices[0].text
    chunks = client.completions.create(**PROMPT, stream=True)
    assert expected
    assert (
        "".join(chunk.choices[0].text for chunk in chunks if chunk.choices) == expected
    )


def test_chat_stream_ends_with_usage_and_reason(client):
    stream = client.chat.completions.create(
        model="wordsmith",
        messages=[{"role": "user", "content": "Fault code 17?"}],
        max_tokens=6,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    reasons = [p.choices[0].finish_reason for p in chunks if p.choices]
    assert reasons[-1] == "length"
    assert chunks[-1].usage.completion_tokens == 6


def test_models_are_listed(client):
    assert [model.id for model in client.models.list()] == ["wordsmith"]


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"model": "nobody"}, openai.NotFoundError),
        ({"max_tokens": 10_000_000}, openai.BadRequestError),
        ({"max_tokens": -1}, openai.BadRequestError),
        ({"prompt": None}, openai.BadRequestError),
    ],
)
def test_client_library_reads_typed_errors(client, change, error):
    with pytest.raises(error) as caught:
        client.completions.create(**(PROMPT | change))
    assert caught.value.body["ran"] == "no"


BAD_CALLS = [
    ("no key", {}, b"{}", 401, "invalid_api_key"),
    ("unknown key", {"authorization": "Bearer x"}, b"{}", 401, "invalid_api_key"),
    ("no JSON", KEY, b"{", 400, "invalid_request"),
    ("wrong type", KEY, b'{"model": 3}', 400, "invalid_request"),
    ("broken UTF-8", KEY, b'{"model": "\xff"}', 400, "invalid_request"),
    ("no prompt", KEY, b'{"model": "wordsmith"}', 400, "invalid_request"),
    ("too large", KEY, b" " * (5 << 20), 413, "body_too_large"),
]


@pytest.mark.parametrize("headers, body, status, code", [c[1:] for c in BAD_CALLS])
def test_bad_calls_get_typed_errors(address, headers, body, status, code):
    url = f"http://{address}/v1/completions"
    response = httpx.post(url, headers=headers, content=body)
    assert response.status_code == status
    assert response.json()["error"]["code"] == code
    assert response.json()["error"]["ran"] == "no"


def test_service_call_keeps_method_path_query_and_body(address):
    url = f"http://{address}/v1/services/contracts/echo/a%20b/c?x=1&y=%2F"
    headers = KEY | {"x-fault-code": "17"}
    response = httpx.request("PATCH", url, headers=headers, content=b"body")
    echo = response.json()
    assert response.status_code == 200
    assert echo["method"] == "PATCH"
    assert echo["body"] == "body"
    echoed = json.dumps(echo)
    assert "a%20b/c" in echoed or "a b/c" in echoed
    assert "x=1&y=%2F" in echoed
    assert "x-fault-code" in echoed
    assert CALLER_KEY not in echoed


def test_each_call_logs_one_outcome(fleet, address):
    headers = KEY | {"x-request-id": f"outcome-{address}"}
    url = f"http://{address}/v1/services/contracts/contracts/17"
    assert httpx.get(url, headers=headers).status_code == 200
    name = next(e.name for e in fleet.deployment.entries if e.http_address == address)
    output = fleet.programs_by_name[name].output
    # The line is logged after the response was sent.
    fleet.wait_until(lambda: f"outcome-{address}" in output.read_text())
    lines = output.read_text().splitlines()
    found = [json.loads(line) for line in lines if f"outcome-{address}" in line]
    assert [line["event"] for line in found] == ["call_finished"]


def test_unknown_path_is_a_typed_error(address):
    response = httpx.get(f"http://{address}/v1/nothing", headers=KEY)
    assert response.status_code == 404
    assert response.json()["error"]["code"] == "not_found"
