"""Customers with keys on the wire: manifest, settings, requests, submissions."""

import contextlib
import json

import anyio
import pytest

from foxtailbank.entry import key_hash
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.http1.client_channel import ClientChannel
from foxtailbank.keyed_log import KeyedLog, KeyedRecord, LogSlice, StoreRefused
from foxtailbank_platform import headers as names
from foxtailbank_platform.manifest import (
    ManifestDecoder,
    ManifestState,
    ManifestUnreadable,
)
from foxtailbank_platform.settings import SettingsInvalid, decode_settings
from platform_deployment import (
    CLOCK,
    call,
    make_manifest,
    make_submission,
    running_deployment,
)
from serving_fakes import make_logs
from test_platform_wire import SETTINGS

pytestmark = pytest.mark.anyio
NET = "127.0.43"
REVOKE_MS = 3_000
POLL_S = 0.9
STRICT = f"bounds.strict_revoke=true\nbounds.revoke_ms={REVOKE_MS}\n"
ACME = {"name": "acme", "api_keys": ["k1", "k2"]}
BEE = {"name": "bee", "api_keys": ["k3"]}
PLAIN = "/plain/x"
PUBLIC = "/open/plain/x"
LOTS = "/foxtailbank/lots/"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def manifest(version=1, tenants=(ACME, BEE)):
    made = make_manifest(version=version)
    public = {**made["routes"][0], "path_prefix": "/open/", "public": True}
    made["routes"].append({**public, "name": "open"})
    return {**made, "tenants": list(tenants)}


def encoded(**changes):
    return json.dumps(manifest(**changes)).encode()


@pytest.mark.parametrize(
    "tenants",
    [
        pytest.param([ACME, {**BEE, "api_keys": ["k1"]}], id="two-of-one-key"),
        pytest.param([ACME, {**BEE, "name": "acme"}], id="two-of-one-name"),
        pytest.param([ACME, ACME], id="the-same-twice"),
        pytest.param([{**ACME, "rate_per_s": -1}], id="negative-rate"),
        pytest.param([{**ACME, "burst": 1e300}], id="large-burst"),
        pytest.param([{**ACME, "name": ""}], id="no-name"),
        pytest.param([{**ACME, "name": "a\nb"}], id="name-of-two-lines"),
        pytest.param([{**ACME, "api_keys": "k1"}], id="keys-no-list"),
        pytest.param([7], id="no-table"),
    ],
)
# Guards against a configuration that ends a process, or that leaves no key in force.
def test_an_unreadable_configuration_leaves_the_last_good_one(tenants):
    routes = RouteTable()
    state = ManifestState(routes=routes, logs=make_logs())
    for offset, data in enumerate((encoded(), encoded(version=2, tenants=tenants))):
        record = KeyedRecord(key="config", value=data, offset=offset)
        state.apply_records(LogSlice(records=(record,), end=offset + 1))
    assert routes.version == 1
    assert routes.customers.identify(key_hash("k3")).customer.name == "bee"
    with pytest.raises(ManifestUnreadable):
        ManifestDecoder().decode(encoded(version=2, tenants=tenants))


@pytest.mark.parametrize("tenants", [None, []])
def test_without_customers_no_key_is_needed(tenants):
    data = json.dumps({**make_manifest(), "tenants": tenants}).encode()
    assert ManifestDecoder().decode(data).customers == ()


# Guards against versions whose decoding takes longer with each route that stays.
def test_what_did_not_change_is_not_decoded_again():
    decoder = ManifestDecoder()
    many = {**ACME, "api_keys": [f"key{number}" for number in range(5_000)]}
    first = decoder.decode(encoded(tenants=(many, BEE)))
    other = {**BEE, "api_keys": ["k4"]}
    second = decoder.decode(encoded(version=2, tenants=(many, other)))
    assert all(map(lambda old, new: old is new, first.routes, second.routes))
    assert first.customers[0] is second.customers[0]
    assert second.customers[1].key_hashes == {key_hash("k4")}
    assert len(first.customers[0].key_hashes) == 5_000


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ("", 0),
        ("bounds.revoke_ms=5000", 0),
        ("bounds.strict_revoke=false\nbounds.revoke_ms=5000", 0),
        ("bounds.strict_revoke=true\nbounds.revoke_ms=5000", 4_750),
        ("bounds.strict_revoke=true", "bounds.revoke_ms"),
        ("bounds.strict_revoke=true\nbounds.revoke_ms=0", "bounds.revoke_ms"),
        ("bounds.strict_revoke=perhaps", "bounds.strict_revoke"),
    ],
)
def test_the_lease_follows_from_the_settings(lines, expected):
    if isinstance(expected, int):
        assert decode_settings(SETTINGS + lines).key_max_age_ms == expected
        return
    with pytest.raises(SettingsInvalid, match=expected):
        decode_settings(SETTINGS + lines)


def bearing(key, *more):
    headers = ((("aUthorization", f"tOKEN {key}"),) if key else ()) + more
    return {"headers": headers, "net": NET}


@contextlib.asynccontextmanager
async def running_vms(count=1, *, tenants=(ACME, BEE), more_settings=""):
    async with running_deployment(net=NET) as deployment:
        deployment.publish()
        deployment.store.put("keyed.op", "config", manifest(2, tenants))
        for number in range(1, count + 1):
            deployment.start_vm(number, more_settings)
        for number in range(1, count + 1):
            await deployment.until_ready(number)
        await anyio.sleep(0.5)  # the VMs have heard of each other
        yield deployment


def runs(deployment):
    return [run for worker in deployment.workers for run in worker.runs]


def customers_seen(run):
    found = [value for name, value in run.headers if name.lower() == names.CUSTOMER]
    assert not [name for name, _ in run.headers if name.lower() == names.AUTHORIZATION]
    return found


SPOOFED = (("X-TENANT", "bee"), ("x-Tenant", "root"))


# Guards against keys that reach a worker, customers that a client names itself, and
# requests that run without a key.
async def test_requests_run_for_the_holder_of_their_key():
    async with running_vms() as deployment:
        for key, target, status, customers in (
            ("k1", PLAIN, 200, ["acme"]),
            ("k3", "/st/x", 200, ["bee"]),
            ("k9", PLAIN, 401, None),
            ("", PLAIN, 401, None),
            ("k9", "/nowhere/", 404, None),
            ("k9", PUBLIC, 200, []),
            ("k1", PUBLIC, 200, []),
            ("", PUBLIC, 200, []),
        ):
            for worker in deployment.workers:
                worker.runs.clear()
            head, _ = await call("POST", target, **bearing(key, *SPOOFED))
            seen = [customers_seen(run) for run in runs(deployment)]
            expected = [] if customers is None else [customers]
            assert (head.status, seen) == (status, expected), (key, target)


async def test_without_customers_all_headers_go_through():
    async with running_vms(tenants=()) as deployment:
        head, _ = await call("POST", PLAIN, **bearing("k1", *SPOOFED))
        (run,) = runs(deployment)
        assert head.status == 200
        sent = {"aUthorization": "tOKEN k1", "X-TENANT": "bee", "x-Tenant": "root"}
        got = [header[1] for header in run.headers]
        assert all(value in got for value in sent.values())


# Guards against a key that travels between VMs, and a customer that is lost there.
async def test_a_relayed_request_runs_for_its_customer(monkeypatch):
    async with running_vms(2) as deployment:
        reach = deployment.process_by_number[1]._vm.fleet.reach
        reach.is_lost = lambda service: True
        reach.lost_services = lambda: ("s",)
        await anyio.sleep(0.6)
        relayed = []
        server = deployment.process_by_number[2]._relay_server
        handle = server._handler

        async def record(request, responder):
            relayed.append(request)
            await handle(request, responder)

        monkeypatch.setattr(server, "_handler", record)
        head, _ = await call("POST", PLAIN, **bearing("k1", *SPOOFED))
        assert head.status == 200
        assert [customers_seen(run) for run in runs(deployment)] == [["acme"]]
        assert len(relayed) == 1
        assert customers_seen(relayed[0]) == []
        assert "k1" not in str(relayed[0].headers)


class CutLog(KeyedLog):
    """A store that this VM does not reach."""

    async def read_newest(self):
        raise StoreRefused()

    async def read(self, *, start, wait_ms):
        raise StoreRefused()

    async def append(self, records, *, append_id):
        raise StoreRefused()


# Guards against a VM that is cut off from the store and serves a key for longer than
# the bound after it was taken away.
async def test_a_vm_that_is_cut_off_serves_no_key_past_the_bound():
    async with running_vms(2, more_settings=STRICT) as deployment:
        follower = deployment.process_by_number[2]._followers[0]
        log, follower._log = follower._log, CutLog()
        await anyio.sleep(POLL_S)  # what was asked before the cut has been answered
        taken = [{**ACME, "api_keys": ["k2"]}, BEE]
        deployment.store.put("keyed.op", "config", manifest(3, taken))
        revoked_ms = CLOCK.now_ms()
        late = []
        while CLOCK.now_ms() - revoked_ms < REVOKE_MS + 800:
            sent_ms = CLOCK.now_ms() - revoked_ms
            head, _ = await call("POST", PLAIN, number=2, **bearing("k1"))
            late.append((sent_ms, head.status))
        served = [sent_ms for sent_ms, status in late if status == 200]
        assert served
        assert max(served) <= REVOKE_MS
        assert {status for sent_ms, status in late if sent_ms > REVOKE_MS} == {503}
        head, _ = await call("POST", PLAIN, number=2, **bearing("k2"))
        assert head.status == 503
        assert float(head.get("retry-after")) > 0
        head, _ = await call("POST", PUBLIC, number=2, **bearing(""))
        assert head.status == 200
        statuses = [
            (await call("POST", PLAIN, number=1, **bearing(key)))[0].status
            for key in ("k1", "k2")
        ]
        assert statuses == [401, 200]
        follower._log = log
        await anyio.sleep(1)
        statuses = [
            (await call("POST", PLAIN, number=2, **bearing(key)))[0].status
            for key in ("k1", "k2")
        ]
        assert statuses == [401, 200]


async def submit(key, submission_id="s1", *, number=1, **items):
    sent = (
        ("Host", "h.example"),
        ("X-Request-Id", submission_id),
        ("Authorization", f"Token {key}"),
    )
    channel = await ClientChannel.connect(
        address=f"{NET}.1{number}:18144", clock=CLOCK, timeout_ms=1_000
    )
    body = make_submission(**items)
    await channel.send(method="POST", target="/b/1", headers=sent, body=body)
    head = await channel.receive_head(10_000)
    await channel.aclose()
    return head.status


# Guards against a customer that reads, ends or takes over another's submission, and
# against items whose own headers name a customer or bear a key.
async def test_submissions_are_those_of_their_customer():
    async with running_vms(2) as deployment:
        for worker in deployment.workers:
            worker.refuse = True
        own = {"headers": {"X-tenant": "root", "AUTHORIZATION": "Token k3"}}
        assert await submit("k1", changes=own) == 202
        assert await submit("k2", number=2) == 202  # a repeat, by another key
        await anyio.sleep(1)

        async def status(key, method, target, number=2):
            head, body = await call(method, target, number=number, **bearing(key))
            return (head.status, body)

        body = "/foxtailbank/items/s1?id=i0"
        results = f"{LOTS}s1?after=0"
        assert await status("k2", "GET", body) == (200, b"body0")
        for method, target in (
            ("GET", results),
            ("GET", body),
            ("DELETE", LOTS + "s1"),
        ):
            assert (await status("k9", method, target))[0] == 401
            assert (await status("", method, target))[0] == 401
            other = await status("k3", method, target)
            assert other == await status("k3", method, target.replace("s1", "s0"))
            assert other[0] == 404
        for worker in deployment.workers:
            worker.refuse = False
        assert await submit("k3", count=1) == 202  # an id that another customer has
        pages = {}

        async def is_done():
            for key, total in (("k2", 3), ("k3", 1)):
                found, data = await status(key, "GET", results)
                assert found == 200
                pages[key] = json.loads(data)
                if len(pages[key]["results"]) < total:
                    return False
            return True

        await deployment.until(is_done)
        assert [pages[key]["total"] for key in ("k2", "k3")] == [3, 1]
        seen = sorted(customers_seen(run)[0] for run in runs(deployment))
        assert seen == ["acme"] * 3 + ["bee"]
        assert all(len(customers_seen(run)) == 1 for run in runs(deployment))
        assert (await status("k2", "DELETE", LOTS + "s1"))[0] == 200


# Guards against a submission that its caller, who has no key, can't read any more.
async def test_a_submission_without_a_key_is_read_after_its_route_was_removed():
    made = manifest()
    batch = next(route for route in made["routes"] if route["type"] == "batch")
    public = {**batch, "name": "ob", "path_prefix": "/open/", "public": True}
    async with running_deployment(net=NET) as deployment:
        deployment.publish()
        deployment.store.put("keyed.op", "config", {**made, "routes": [public]})
        deployment.start_vm()
        await deployment.until_ready()
        body = make_submission()
        head, _ = await call("POST", "/open/1", body=body, net=NET)
        assert head.status == 202
        deployment.store.put("keyed.op", "config", {**made, "version": 2})

        async def is_removed():
            head, _ = await call("POST", "/open/1", body=body, net=NET)
            return head.status != 202

        await deployment.until(is_removed)
        deployment.scope_by_number[1].cancel()
        deployment.start_vm(2)  # has it from the log
        await deployment.until_ready(2)
        head, _ = await call("GET", f"{LOTS}q1?after=0", number=2, net=NET)
        assert head.status == 200
