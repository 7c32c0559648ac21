"""A request that crashes endpoints, sent repeatedly through all VMs."""

import json

import httpx
import pytest

from fleet_process import running_fleet
from foxtailbank_bench.demo_catalogue import CALLER_KEY

KEY = {"authorization": f"Bearer {CALLER_KEY}"}
MAX_CRASHED_ENDPOINTS = 3
CRASHING = {"model": "wordsmith", "prompt": "__crash__", "max_tokens": 8}
HARMLESS = {"model": "wordsmith", "prompt": "In loving memory", "max_tokens": 8}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as launcher:
        launcher.may_fail = tuple(spec.name for spec in launcher.deployment.endpoints)
        urls = [f"http://{e.http_address}/v1" for e in launcher.deployment.entries]
        for url in urls:
            launcher.wait_until(
                lambda url=url: (
                    "wordsmith" in httpx.get(f"{url}/models", headers=KEY).text
                )
            )
        yield launcher


def test_request_crashes_at_most_three_endpoints_and_other_requests_succeed(fleet):
    urls = [f"http://{e.http_address}/v1/completions" for e in fleet.deployment.entries]
    responses = []
    for turn in range(12):
        url = urls[turn % len(urls)]
        responses.append(httpx.post(url, headers=KEY, json=CRASHING, timeout=30).json())
        harmless = httpx.post(url, headers=KEY, json=HARMLESS, timeout=30)
        assert harmless.status_code == 200, harmless.text
    codes = [response["error"]["code"] for response in responses]
    assert codes[-1] == "quarantined"
    crashed = [
        name
        for name, program in fleet.programs_by_name.items()
        if program.process.poll() is not None
    ]
    assert 1 <= len(crashed) <= MAX_CRASHED_ENDPOINTS
    for response in responses:
        reached = _has_reached_endpoint(fleet, response["error"]["request_id"])
        assert not (reached and response["error"]["ran"] == "no"), response


def _has_reached_endpoint(fleet, request_id):
    return any(
        request_id in line
        for spec in fleet.deployment.endpoints
        for line in fleet.journal(spec.name).read_text().splitlines()
        if json.loads(line)
    )
