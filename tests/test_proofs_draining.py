"""Draining of endpoints and planned stops of entry VMs."""

import concurrent.futures
import http.client
import json
import signal

import httpx
import pytest

from fleet_process import CALLER_HEADERS, Fleet, running_fleet, slow_endpoints

TOKENS = 150
# Enough calls that every VM can learn meanwhile that an endpoint is leaving.
CALLS_PER_BURST = 60


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    timing = (("drain_notice_ms", 1_000),)
    endpoints = slow_endpoints(count=3)
    with running_fleet(directory, endpoints=endpoints, timing=timing) as launcher:
        yield Fleet(launcher)


def stops_receiving_calls(fleet, name):
    """Send bursts of calls until none of a burst reaches the endpoint."""
    for _ in range(20):
        before = len(fleet.journal(name))
        send_burst(fleet)
        if len(fleet.journal(name)) == before:
            return True
    return False


def send_burst(fleet):
    def send(index):
        prompt = f"Leaving {index}"
        return fleet.complete(index % 3, prompt, tokens=2).status_code

    with concurrent.futures.ThreadPoolExecutor(max_workers=12) as pool:
        assert set(pool.map(send, range(CALLS_PER_BURST))) == {200}


def set_state(fleet, name, state):
    url = f"http://{fleet.launcher.address('platform')}/vms"
    vm = next(vm for vm in httpx.get(url).json() if vm["vm_id"] == name)
    httpx.put(f"{url}/{name}", json=vm | {"state": state}).raise_for_status()


@pytest.mark.parametrize("announced_by", ["vm_list", "endpoint"])
def test_leaving_endpoint_gets_no_new_work(fleet, announced_by):
    name = "wordsmith-1" if announced_by == "vm_list" else "wordsmith-2"
    job_id = fleet.submit(0, count=200, tokens=8).json()["id"]
    fleet.wait(lambda: fleet.requests_with_prefix(job_id))
    if announced_by == "vm_list":
        set_state(fleet, name, "leaving")
    else:
        fleet.launcher.faults(name, drain=True)
    assert stops_receiving_calls(fleet, name)
    if announced_by == "endpoint":
        # The endpoint would admit again, but the VMs have not been notified.
        fleet.launcher.faults(name, reject=False)
    reached = len(fleet.journal(name))
    send_burst(fleet)
    later = fleet.submit(1, count=40, tokens=2).json()["id"]
    fleet.wait_job(1, later)
    fleet.wait_job(0, job_id)
    assert len(fleet.journal(name)) == reached
    fleet.assert_each_item_once(2, job_id, 200)
    if announced_by == "vm_list":
        set_state(fleet, name, "live")


def test_planned_stop_interrupts_no_request(fleet):
    name = fleet.name(1)
    job_id = fleet.submit(1, count=24, tokens=30).json()["id"]
    fleet.wait(lambda: fleet.requests_with_prefix(job_id))
    expected = fleet.expected_streams("Stop", count=6, tokens=TOKENS)
    host, _, port = fleet.entries[1].http_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port))
    connection.request("GET", "/v1/models", headers=CALLER_HEADERS)
    assert connection.getresponse().read()
    with fleet.running_streams(
        "Stop", count=6, tokens=TOKENS, prefix="stop-", vms=(1,)
    ) as streams:
        fleet.launcher.signal(name, signal.SIGTERM)
        fleet.wait(lambda: httpx.get(fleet.url(1, "/readyz")).status_code == 503)
        # Until the load balancer has seen that the VM is not ready, the VM still
        # serves requests, also on connections that were kept open.
        body = {"model": "wordsmith", "prompt": "Kept", "max_tokens": TOKENS}
        connection.request("POST", "/v1/completions", json.dumps(body), CALLER_HEADERS)
        response = connection.getresponse()
        content = json.loads(response.read())
        assert response.status == 200
        assert content["choices"][0]["text"]
        assert [stream.result() for stream in streams] == expected
    connection.close()
    process = fleet.launcher.programs_by_name[name].process
    fleet.wait(lambda: process.poll() is not None)
    assert process.returncode == 0
    fleet.wait_job(0, job_id)
    fleet.assert_each_item_once(2, job_id, 24)
    fleet.restart(1)
    assert fleet.results(1, job_id) == fleet.results(0, job_id)
