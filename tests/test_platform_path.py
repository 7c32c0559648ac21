"""End-to-end requests and submissions through `Process`, over loopback sockets."""

import anyio
import pytest

from platform_deployment import (
    call,
    read_all,
    running_deployment,
    submit,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_calls_are_forwarded_with_stamp_and_remaining_time():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        deadline = (("X-Deadline-Ms", "900"), ("X-Other", "o"))
        head, body = await call("POST", "/plain/a?b=c", body=b"hi", headers=deadline)
        assert (head.status, body) == (200, b"POST hi")
        assert head.get("x-response-stamp").startswith("stamp-")
        (run,) = [run for worker in deployment.workers for run in worker.runs]
        assert (run.target, run.get("x-other")) == ("/plain/a?b=c", "o")
        assert 0 < int(run.get("x-deadline-ms")) <= 900
        head, body = await call("POST", "/st/x")
        assert body == b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in (1, 2, 3))


# Guards against a cut stream that is complete for its client, or for a batch result.
async def test_streams_that_end_within_an_event_are_not_whole():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.cut_share = 1.0
        assert await call("POST", "/st/x") is None
        assert await submit("s1") == 202
        await anyio.sleep(0.5)
        for worker in deployment.workers:
            worker.cut_share = 0.0
        page = await read_all(deployment, "s1", 3)
        texts = {result["text"] for result in page["results"]}
        assert texts == {"e1\ne2\ne3"}


@pytest.mark.parametrize(
    ("method", "target", "body", "headers", "status"),
    [
        pytest.param("GET", "/nowhere/", b"", (), 404, id="no-route"),
        pytest.param("POST", "/plain/", b"x" * 100_001, (), 413, id="large-body"),
        pytest.param(
            "GET", "/plain/", b"", (("X", "y" * 5_000),), 431, id="large-header"
        ),
        pytest.param("POST", "/b/1", b"{", (), 400, id="invalid-json"),
        pytest.param("POST", "/b/1", b'{"items": []}', (), 400, id="no-items"),
        pytest.param(
            "POST", "/b/1", b'{"items": [{"id": 1}]}', (), 400, id="wrong-types"
        ),
        pytest.param("GET", "/b/1", b"", (), 400, id="method-not-allowed"),
        pytest.param(
            "GET",
            "/foxtailbank/lots/none?after=0",
            b"",
            (),
            404,
            id="unknown-submission",
        ),
        pytest.param(
            "GET", "/foxtailbank/lots/n?after=x", b"", (), 400, id="invalid-position"
        ),
        pytest.param(
            "GET", "/foxtailbank/items/none?id=1", b"", (), 404, id="unknown-item"
        ),
        pytest.param(
            "POST",
            "/plain/",
            b"",
            (("X-Deadline-Ms", "soon"),),
            400,
            id="invalid-deadline",
        ),
    ],
)
async def test_invalid_requests_get_a_specific_status(
    method, target, body, headers, status
):
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        head, _ = await call(method, target, body=body, headers=headers)
        assert head.status == status
        head, _ = await call("POST", "/plain/a")
        assert head.status == 200


async def test_requests_get_503_until_the_first_configuration():
    async with running_deployment() as deployment:
        deployment.start_vm()

        async def responds():
            return await call("POST", "/plain/a") is not None

        await deployment.until(responds)
        head, _ = await call("POST", "/plain/a")
        assert head.status == 503
        assert float(head.get("retry-after")) > 0


async def test_client_disconnect_cancels_the_run():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.event_interval_s = 60
        with anyio.move_on_after(0.5):
            await call("POST", "/st/x")

        async def is_cancelled():
            return (
                sum(worker.disconnected_streams for worker in deployment.workers) == 1
            )

        await deployment.until(is_cancelled)


async def test_submission_is_readable_on_other_vms_and_after_a_restart():
    async with running_deployment() as deployment:
        first = await deployment.start_two_vms()
        assert await submit("s1") == 202
        assert await submit("s1", number=2) == 202
        page = await read_all(deployment, "s1", 3, number=2)
        assert page["total"] == page["next"] == 3
        assert {r["state"] for r in page["results"]} == {"completed"}
        assert {r["text"] for r in page["results"]} == {"e1\ne2\ne3"}
        first.cancel()
        await anyio.sleep(0.1)
        deployment.start_vm(1)
        await deployment.until_ready(1)
        assert await read_all(deployment, "s1", 3, number=1) == page


async def test_items_of_a_crashed_vm_are_finished_by_another():
    async with running_deployment() as deployment:
        first = await deployment.start_two_vms()
        for worker in deployment.workers:
            worker.event_interval_s = 0.5
        assert await submit("s1") == 202
        await anyio.sleep(0.3)
        first.cancel()
        deployment.store.expire_members()
        page = await read_all(deployment, "s1", 3, number=2)
        assert {r["text"] for r in page["results"]} == {"e1\ne2\ne3"}


async def test_ending_a_submission_stops_its_items_and_drops_bodies():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        for worker in deployment.workers:
            worker.event_interval_s = 60
        assert await submit("s1") == 202
        _, body = await call("GET", "/foxtailbank/items/s1?id=i1")
        assert body == b"body1"
        head, _ = await call("DELETE", "/foxtailbank/lots/s1")
        again, _ = await call("DELETE", "/foxtailbank/lots/s1")
        assert (head.status, again.status) == (200, 200)

        async def has_stopped():
            runs = sum(len(worker.runs) for worker in deployment.workers)
            return (
                sum(worker.disconnected_streams for worker in deployment.workers)
                == runs
            )

        await deployment.until(has_stopped)
        head, _ = await call("GET", "/foxtailbank/items/s1?id=i1")
        assert head.status == 404


async def test_waiting_token_cap_applies_across_vms():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm(1)
        deployment.start_vm(2)
        await deployment.until_ready(1)
        await deployment.until_ready(2)
        for worker in deployment.workers:
            worker.event_interval_s = 60
        assert await submit("s1", count=3, tokens=20) == 202
        assert await submit("s2", number=2, count=3, tokens=20) == 429
        assert await submit("s3", number=2, count=2, tokens=20) == 202


@pytest.mark.parametrize("fault", ["down", "lost"])
async def test_submission_status_during_a_store_failure(fault):
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        if fault == "lost":
            deployment.store.lose_answers = 1
            assert await submit("s1") == 202
            return
        deployment.store.up = False
        assert await submit("s1") == 503
        head, _ = await call("POST", "/plain/a")
        assert head.status == 200
        deployment.store.up = True

        async def is_accepted():
            return await submit("s1") == 202

        await deployment.until(is_accepted)
        await read_all(deployment, "s1", 3)


async def test_draining_worker_gets_no_new_requests():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        draining, active = deployment.workers
        entry = draining.entry(state="draining", sequence=2)
        deployment.store.put("keyed.servers", draining.worker_id, entry)
        await anyio.sleep(2)
        before = len(draining.runs)
        for _ in range(10):
            head, _ = await call("POST", "/plain/a")
            assert head.status == 200
        assert len(draining.runs) == before
        assert len(active.runs) >= 10


async def test_counters_and_histograms_are_served():
    async with running_deployment() as deployment:
        deployment.publish()
        deployment.start_vm()
        await deployment.until_ready()
        await call("POST", "/plain/a")
        head, body = await call("GET", "/metrics", port=9464)
        assert head.status == 200
        assert b'foxtailbank_calls_total{entry="plain",reason="200"} 1.0' in body
        assert b"foxtailbank_latency_seconds_bucket" in body
