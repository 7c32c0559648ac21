"""Clients outside the limits end no process, and ordinary callers are served.

The processes are given little memory, so that small crowds suffice. Memory and
descriptors are bounded by the settings of the process, whatever it takes at rest.
"""

import base64
import contextlib
import dataclasses
import json
import socket

import anyio
import pytest

from foxtailbank_platform.main import METRICS_PORT
from hostile_crowd import Attack, VmUnderAttack, open_crowd
from platform_deployment import call, running_deployment, submit

pytestmark = [pytest.mark.anyio, pytest.mark.hostile]
NET = "127.0.110"
IP = f"{NET}.11"
FRONT, READY, RELAY = 18_144, 18_140, 17_660
MEMORY_MB = 72
MAX_FDS = 3_075
FEW_FDS = 600
SMALLEST_VM_MB = 160
ANSWERED_S = 120  # only against a hang
LIMITS = {"header_bytes": 16_384, "body_bytes": 4_194_304}
ENDLESS_BYTES = 12 << 20
HELD_BODY_BYTES = 150_000
ECHO_BYTES = len("POST ")  # before the body in an answer, which has the same bound
FIELDS = 2_650  # of two letters, as many as a legal head holds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Door:
    """An address and path of the VM."""

    port: int
    path: str


DOORS = {
    "route": Door(port=FRONT, path="/plain/x"),
    "no-route": Door(port=FRONT, path="/none/x"),
    "batch": Door(port=FRONT, path="/b/1"),
    "results": Door(port=FRONT, path="/foxtailbank/lots/x"),
    "ready": Door(port=READY, path="/foxtailbank/ready"),
    "metrics": Door(port=METRICS_PORT, path="/metrics"),
    "relay": Door(port=RELAY, path="/plain/x"),
}


def head(door, *fields, method="POST", end=b"\r\n"):
    lines = [f"{method} {door.path} HTTP/1.1", "Host: h.example", *fields]
    return "\r\n".join(lines).encode() + b"\r\n" + end


def short_body(door, *, length=65_000, missing=1, **options):
    start = head(door, f"Content-Length: {length}", "X-Request-Id: h")
    return Attack(data=start + b"x" * (length - missing), **options)


def chunks(door, *, count=30_000, **options):
    start = head(door, "Transfer-Encoding: chunked")
    return Attack(data=start + b"1\r\nx\r\n" * count, **options)


def over_limit(door, **options):
    start = head(door, "Content-Length: 999999999")
    return Attack(data=start + b"x" * ENDLESS_BYTES, **options)


def endless_chunks(door, **options):
    block = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    start = head(door, "Transfer-Encoding: chunked")
    return Attack(data=start + block * (ENDLESS_BYTES // 65_536), **options)


def short_fields(count):
    return [f"{number % 256:02x}: " for number in range(count)]


def many_fields(door, **options):
    """A legal head of short fields before a body that never ends."""
    start = head(door, "Content-Length: 9", *short_fields(FIELDS))
    return Attack(data=start + b"x", **options)


def unfinished_fields(door, **options):
    return Attack(data=head(door, *short_fields(FIELDS), end=b""), **options)


def whole_request(door, content, **options):
    start = head(door, f"Content-Length: {len(content)}", "X-Request-Id: h")
    return Attack(data=start + content, **options)


def many_items(door, **options):
    item = '{"id":"","path":""},'
    content = '{"items":[' + item * (3_900_000 // len(item))
    return whole_request(door, content.encode()[:-1] + b"]}", **options)


def many_item_headers(door, **options):
    fields = ",".join(f'"{number:x}":""' for number in range(380_000))
    item = '{"id":"i","path":"/b/x","headers":{' + fields + "}}"
    return whole_request(door, f'{{"items":[{item}]}}'.encode(), **options)


def sent_ahead(door, **options):
    data = head(door, method="GET") * 3_000
    return Attack(data=data, reads=False, **options)


def slow_head(door, **options):
    data = head(door, *short_fields(2_000), end=b"")
    return Attack(data=data, piece_bytes=32, **options)


def silent(door, **options):
    return Attack(data=b"", **options)


def garbage(door, **options):
    return Attack(data=bytes(range(32, 256)) * 1_000, **options)


def unread_bodies(door, **options):
    target = Door(port=FRONT, path="/foxtailbank/items/held?id=i0")
    return Attack(data=head(target, method="GET") * 3, reads=False, **options)


def unread_echoes(door, **options):
    start = head(door, f"Content-Length: {HELD_BODY_BYTES}", "X-Request-Id: h")
    return Attack(data=start + b"x" * HELD_BODY_BYTES, reads=False, **options)


CASES = [
    ("body-short", short_body, "route", {"size": 700}),
    ("body-short", short_body, "no-route", {"size": 700}),
    ("body-short", short_body, "results", {"size": 700}),
    ("body-short", short_body, "ready", {"size": 700}),
    ("body-short", short_body, "metrics", {"size": 700}),
    ("body-short", short_body, "relay", {"size": 700}),
    ("body-in-pieces", short_body, "batch", {"size": 700, "piece_bytes": 1_300}),
    ("body-large", short_body, "batch", {"size": 100, "length": 1_000_000}),
    ("body-large", short_body, "ready", {"size": 100, "length": 1_000_000}),
    ("chunks", chunks, "route", {"size": 300}),
    ("chunks", chunks, "no-route", {"size": 300}),
    ("chunks", chunks, "ready", {"size": 300}),
    ("over-limit", over_limit, "route", {"size": 30}),
    ("over-limit", over_limit, "ready", {"size": 30}),
    ("endless-chunks", endless_chunks, "route", {"size": 30}),
    ("endless-chunks", endless_chunks, "no-route", {"size": 30}),
    ("endless-chunks", endless_chunks, "ready", {"size": 30}),
    ("fields", many_fields, "route", {"size": 200}),
    ("fields", many_fields, "ready", {"size": 200}),
    ("fields", many_fields, "relay", {"size": 200}),
    ("fields-unfinished", unfinished_fields, "route", {"size": 700}),
    ("items", many_items, "batch", {"size": 4}),
    ("item-headers", many_item_headers, "batch", {"size": 4}),
    ("sent-ahead", sent_ahead, "route", {"size": 400}),
    ("sent-ahead", sent_ahead, "no-route", {"size": 400}),
    ("sent-ahead", sent_ahead, "ready", {"size": 400}),
    ("sent-ahead", sent_ahead, "metrics", {"size": 400}),
    ("slow-head", slow_head, "route", {"size": 300}),
    ("garbage", garbage, "route", {"size": 200}),
    ("garbage", garbage, "relay", {"size": 200}),
    ("unread-bodies", unread_bodies, "results", {"size": 500}),
    ("unread-echoes", unread_echoes, "route", {"size": 200}),
]
CROWDS = [
    pytest.param(door, make(DOORS[door], **options), id=f"{name}-{door}")
    for name, make, door, options in CASES
]
FD_CROWDS = [
    pytest.param(door, make(DOORS[door], size=FEW_FDS + 100), id=f"{name}-{door}")
    for name, make, door in (
        ("silent", silent, "route"),
        ("silent", silent, "ready"),
        ("silent", silent, "relay"),
        ("slow-head", slow_head, "metrics"),
    )
]


@contextlib.asynccontextmanager
async def running_vm(directory, *, memory_mb=MEMORY_MB, max_fds=MAX_FDS):
    """Run a VM that is ready, and check at the end that an ordinary caller is served.

    It holds one submission, whose item no worker takes.
    """
    async with running_deployment(net=NET) as deployment:
        deployment.publish(**LIMITS)
        vm = VmUnderAttack(
            directory,
            ip=IP,
            store_address=deployment.store_address,
            memory_mb=memory_mb,
            max_fds=max_fds,
        )
        try:
            await deployment.until_ready()
            await hold_item(deployment)
            yield vm
            await check_serves(vm)
        finally:
            vm.kill()


async def hold_item(deployment):
    """Submit an item that stays open."""
    for worker in deployment.workers:
        worker.error_share = 0.0
        worker.events = 1_000_000
        worker.event_interval_s = 3_600
    body = base64.b64encode(b"x" * HELD_BODY_BYTES).decode()
    changes = {"body": body, "tokens": 1}
    assert await submit("held", net=NET, count=1, changes=changes) == 202


async def check_serves(vm):
    vm.check()
    await until_answered(READY, "/foxtailbank/ready")
    await until_answered(FRONT, "/plain/x", method="POST", body=b"sound")
    vm.check()


async def until_answered(port, path, *, method="GET", body=b""):
    with anyio.fail_after(ANSWERED_S):
        while True:
            answer = await call(method, path, port=port, body=body, net=NET)
            if answer is not None and answer[0].status == 200:
                return answer[1]
            await anyio.sleep(0.1)


# Guards against processes that are killed for memory by clients that do not end their
# requests, send what nobody wants, or read no answers.
@pytest.mark.parametrize(("door", "attack"), CROWDS)
async def test_a_crowd_leaves_the_vm_within_its_memory(tmp_path, door, attack):
    address = (IP, DOORS[door].port)
    async with running_vm(tmp_path) as vm, open_crowd(address, attack):
        await check_serves(vm)


# Guards against a VM that has no descriptor left for ordinary callers and workers.
@pytest.mark.parametrize(("door", "attack"), FD_CROWDS)
async def test_a_crowd_leaves_the_vm_within_its_descriptors(tmp_path, door, attack):
    address = (IP, DOORS[door].port)
    async with running_vm(tmp_path, max_fds=FEW_FDS) as vm, open_crowd(address, attack):
        await check_serves(vm)


# Guards against datagrams that take a VM's memory or end its exchange of loads.
async def test_datagrams_of_strangers_do_no_harm(tmp_path):
    async with running_vm(tmp_path) as vm:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for number in range(5_000):
                stranger.sendto(b"\x00\xff%d" % number * 300, (IP, RELAY))
                if number % 100 == 0:
                    await anyio.sleep(0)
        vm.check()


# A single request inside the limits is served in calm, also by the smallest VM.
@pytest.mark.parametrize(
    ("fields", "body"),
    [
        pytest.param((), b"x" * (LIMITS["body_bytes"] - ECHO_BYTES), id="largest-body"),
        pytest.param((("ab", ""),) * FIELDS, b"x", id="most-fields"),
        pytest.param((("long", "v" * 16_000),), b"x", id="longest-field"),
    ],
)
async def test_a_legal_request_is_served_in_calm(tmp_path, fields, body):
    async with running_vm(tmp_path, memory_mb=SMALLEST_VM_MB) as vm:
        answer = await call("POST", "/plain/x", headers=fields, body=body, net=NET)
        assert answer is not None
        assert (answer[0].status, len(answer[1])) == (200, ECHO_BYTES + len(body))
        vm.check()


async def test_a_legal_submission_is_accepted_in_calm(tmp_path):
    headers = {f"X-Field-{number}": "v" * 20 for number in range(30)}
    items = [
        {
            "id": f"n{number}",
            "path": "/b/x",
            "headers": headers,
            "body": base64.b64encode(b"b" * 8_000).decode(),
            "tokens": 0,
        }
        for number in range(200)
    ]
    body = json.dumps({"items": items}).encode()
    async with running_vm(tmp_path, memory_mb=SMALLEST_VM_MB) as vm:
        answer = await call("POST", "/b/1", body=body, net=NET)
        assert answer is not None
        assert answer[0].status == 202
        vm.check()
