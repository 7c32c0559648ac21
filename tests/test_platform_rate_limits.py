"""What callers beyond their limit are answered, by whole VMs on the platform."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from platform_deployment import call, make_manifest, running_deployment

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
NET = "127.0.75"
KEY = (("Authorization", "Token k1"),)
RATE = 5
BURST = 4
SPARE = 6


TENANT = {"name": "acme", "api_keys": ["k1"], "rate_per_s": RATE, "burst": BURST}


async def send(count, target):
    """Return the heads of the answers to requests at both VMs by turns."""
    heads = []
    for number in range(count):
        headers = (*KEY, ("X-Request-Id", f"r{number}"))
        to = 1 + number % 2
        answer = await call("GET", target, number=to, headers=headers, net=NET)
        heads.append(answer[0])
    return heads


# Guards against limits that hold on each VM by itself, refusals without a time, and
# requests that no worker had and that count nevertheless.
async def test_callers_beyond_the_limit_get_429_at_both_vms():
    async with running_deployment(net=NET) as deployment:
        await deployment.start_two_vms()
        manifest = {**make_manifest(version=2), "tenants": [TENANT]}
        unserved = {"name": "none", "path_prefix": "/none/", "service": "none"}
        manifest["routes"].append({**manifest["routes"][0], **unserved})
        deployment.store.put("keyed.op", "config", manifest)

        async def needs_key():
            answer = await call("GET", "/plain/x", net=NET)
            return answer is not None and answer[0].status == 401

        await deployment.until(needs_key)
        await anyio.sleep(1)
        assert {head.status for head in await send(30, "/none/x")} == {503}
        started_ms = CLOCK.now_ms()
        heads = await send(40, "/plain/x")
        elapsed_s = (CLOCK.now_ms() - started_ms) / 1_000
        passed = [head for head in heads if head.status == 200]
        refused = [head for head in heads if head.status == 429]
        assert len(passed) + len(refused) == len(heads)
        assert 3 <= len(passed) <= BURST + SPARE + RATE * (elapsed_s + 1)
        assert all(float(dict(head.headers)["retry-after"]) > 0 for head in refused)
