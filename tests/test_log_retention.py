"""State survives the log's retention limits and restarts of all entry VMs."""

import json
import signal

import httpx
import pytest

from fleet_process import running_fleet
from foxtailbank_bench.demo_catalogue import CALLER_KEY, demo_entries, put_entry
from foxtailbank_bench.launcher import ADMIN_KEY

KEY = {"authorization": f"Bearer {CALLER_KEY}"}
ADMIN = {"authorization": f"Bearer {ADMIN_KEY}"}
ITEMS = 24
RETAINED_RECORDS = {"ledger": 30, "payload": 30, "catalogue": 6}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    timing = (("drain_notice_ms", 200), ("log_retention_ms", 4_000))
    directory = tmp_path_factory.mktemp("fleet")
    with running_fleet(directory, timing=timing) as launcher:
        for spec in launcher.deployment.entries:
            url = f"http://{spec.http_address}/admin/catalogue/notices"
            launcher.wait_until(
                lambda url=url: httpx.get(url, headers=ADMIN).status_code == 200
            )
        yield launcher


def submit(fleet, vm, name):
    lines = [
        json.dumps(
            {
                "custom_id": f"{name}-{n}",
                "body": {
                    "model": "wordsmith",
                    "prompt": f"{name} {n}",
                    "max_tokens": 2,
                },
            }
        )
        for n in range(ITEMS)
    ]
    address = fleet.deployment.entries[vm].http_address
    response = httpx.post(
        f"http://{address}/v1/batches?entry=notices",
        headers=KEY | {"idempotency-key": name},
        content="\n".join(lines),
    )
    assert response.status_code == 202, response.text
    return response.json()["id"]


def status(fleet, vm, job_id):
    address = fleet.deployment.entries[vm].http_address
    url = f"http://{address}/v1/batches/{job_id}"
    return httpx.get(url, headers=KEY).json().get("status")


def results(fleet, vm, job_id):
    address = fleet.deployment.entries[vm].http_address
    url = f"http://{address}/v1/batches/{job_id}/results"
    response = httpx.get(url, headers=KEY)
    assert response.status_code == 200, response.text
    return [json.loads(line) for line in response.text.splitlines()]


def test_results_claims_and_catalogue_outlive_retention(fleet):
    first = submit(fleet, 0, "first")
    fleet.wait_until(lambda: status(fleet, 0, first) == "finished")
    booking = book(fleet, 0)
    before = results(fleet, 0, first)
    assert len({line["custom_id"] for line in before}) == len(before) == ITEMS
    fleet.faults("platform", retention_records=RETAINED_RECORDS)
    address = fleet.deployment.entries[1].http_address
    entry = demo_entries()["contracts"]
    job = submit(fleet, 1, "later")
    fleet.wait_until(lambda: status(fleet, 1, job) == "finished")
    for turn in range(10):
        evict_records(fleet)
        entry["limits"] = {"concurrency": 10 + turn}
        put_entry(address, "contracts", entry, admin_key=ADMIN_KEY)
    for stream, kept in RETAINED_RECORDS.items():
        assert extent(fleet, stream)["earliest"] > kept, stream
    for spec in fleet.deployment.entries:
        fleet.signal(spec.name, signal.SIGTERM)
        assert fleet.programs_by_name[spec.name].process.wait(30) == 0
        fleet.start_entry(spec)
        fleet.wait_ready(spec)
    fleet.wait_until(lambda: status(fleet, 2, first) == "finished")
    assert results(fleet, 2, first) == before
    assert submit(fleet, 1, "first") == first
    assert book(fleet, 2) == booking
    shown = httpx.get(f"http://{address}/admin/catalogue/contracts", headers=ADMIN)
    assert shown.json()["entry"]["limits"]["concurrency"] == 19


def extent(fleet, stream):
    return httpx.get(f"http://{fleet.address('platform')}/streams/{stream}").json()


def evict_records(fleet):
    """Append until older records are evicted and needed ones are re-appended."""
    url = f"http://{fleet.address('platform')}/streams"
    for stream in ("payload", "ledger"):
        for _ in range(6):
            httpx.post(f"{url}/{stream}/records", content=b"unreadable\n")
    end = extent(fleet, "payload")["end"]
    fleet.wait_until(lambda: extent(fleet, "payload")["end"] > end + 2)


def book(fleet, vm):
    address = fleet.deployment.entries[vm].http_address
    url = f"http://{address}/v1/services/bookings/bookings"
    headers = KEY | {"idempotency-key": "burial"}
    response = httpx.post(url, headers=headers, json={"notice": 1})
    assert response.status_code == 201, response.text
    return response.json()["booking_id"]
