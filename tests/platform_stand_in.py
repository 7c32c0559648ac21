"""Small stand-ins of the platform's store and workers, over real sockets."""

import base64
import json
import struct
import urllib.parse

import anyio

from foxtailbank.clock import SystemClock
from foxtailbank.http1.server import Server
from foxtailbank.http1.server_limits import ServerLimits

LIMITS = ServerLimits(body_bytes=8 << 20, idle_timeout_ms=60_000)


def raise_defect(error):
    raise error


def make_server(address, handler):
    return Server(
        address=address,
        handler=handler,
        limits=lambda: LIMITS,
        clock=SystemClock(),
        on_defect=raise_defect,
    )


class StoreStandIn:
    """Keyed topics of one partition, producers, and groups without expiry.

    Switches: `up`; `lose_answers` (the next appends take effect and get no answer).
    """

    def __init__(self, address):
        self.server = make_server(address, self.handle)
        self.topics = {}
        self.steps = {}
        self.members = {}
        self.up = True
        self.lose_answers = 0
        self.grown = anyio.Event()

    def put(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b""
        self.topics.setdefault(topic, []).append((key.encode(), data))
        self.grown.set()
        self.grown = anyio.Event()

    async def handle(self, request, responder):
        if not self.up:
            await responder.answer(status=503)
            return
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        call = request.path.rpartition("/")[2].replace("-", "_")
        await getattr(self, call)(request, query, responder)

    async def log_append(self, request, query, responder):
        records = self.topics.setdefault(query["topic"], [])
        steps = self.steps.setdefault((query["topic"], query["producer"]), {})
        sequence = int(query["sequence"])
        if steps and sequence not in steps and sequence != max(steps) + 1:
            body = json.dumps({"why": "seq", "expected": max(steps) + 1}).encode()
            await responder.answer(status=409, body=body)
            return
        if sequence not in steps:
            steps[sequence] = len(records)
            records += unframe(request.body)
            self.grown.set()
            self.grown = anyio.Event()
        if self.lose_answers:
            self.lose_answers -= 1
            return  # the connection closes without an answer
        body = {"offset": steps[sequence], "end": len(records)}
        await responder.answer(status=200, body=json.dumps(body).encode())

    async def log_read(self, request, query, responder):
        start = int(query["from"])
        with anyio.move_on_after(int(query.get("wait_ms", 0)) / 1000):
            while len(self.topics.get(query["topic"], ())) <= start:
                await self.grown.wait()
        records = self.topics.get(query["topic"], [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes((len(key),)) + key + value
            body += struct.pack(">I", len(content)) + content
        await responder.answer(status=200, body=body)

    async def log_newest(self, request, query, responder):
        newest = {}
        records = self.topics.get(query["topic"], [])
        for offset, (key, value) in enumerate(records):
            newest[key.decode()] = (value, offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        page = {"items": items[:2], "has_more": len(items) > 2, "end": len(records)}
        await responder.answer(status=200, body=json.dumps(page).encode())

    async def log_join(self, request, query, responder):
        body = json.loads(request.body)
        self.members[body["group"]] = body["member"]
        answer = {"generation": 1, "ttl_ms": body["ttl_ms"], "parts": []}
        await responder.answer(status=200, body=json.dumps(answer).encode())

    async def log_leave(self, request, query, responder):
        self.members.pop(json.loads(request.body)["group"], None)
        await responder.answer(status=200, body=b"{}")

    async def log_owners(self, request, query, responder):
        member = self.members.get(query["group"])
        parts = [["t", 0, member, 0]] if member else []
        await responder.answer(status=200, body=json.dumps({"parts": parts}).encode())


def unframe(body):
    records = []
    while body:
        (length,) = struct.unpack(">I", body[:4])
        content, body = body[4 : 4 + length], body[4 + length :]
        key_end = 1 + content[0]
        records.append((content[1:key_end], content[key_end:]))
    return records


class WorkerStandIn:
    """Worker that echoes, streams events, and keeps a journal of its runs.

    Switches: `gap_s` between two events; `refuse` (it says it ran nothing).
    """

    def __init__(self, worker_id, address, *, events=3):
        self.worker_id = worker_id
        self.address = address
        self.events = events
        self.gap_s = 0.01
        self.refuse = False
        self.runs = []
        self.left = 0
        self.server = make_server(address, self.handle)

    async def handle(self, request, responder):
        expected = request.get("x-expect-instance")
        headers = (("X-Instance-Id", self.worker_id),)
        if expected != self.worker_id:
            await responder.answer(status=421, headers=headers)
            return
        if self.refuse:
            await responder.answer(status=503, headers=(("X-Not-Executed", "1"),))
            return
        self.runs.append(request)
        headers = (
            ("X-Request-Id", request.get("x-request-id")),
            ("X-Response-Stamp", f"stamp-{self.worker_id}"),
        )
        if request.path.startswith("/plain/"):
            body = request.method.encode() + b" " + request.body
            await responder.answer(status=200, headers=headers, body=body)
            return
        try:
            await self.stream(request, responder, headers)
        except anyio.get_cancelled_exc_class():
            self.left += 1
            raise

    async def stream(self, request, responder, headers):
        await responder.start(status=200, headers=headers)
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await responder.send(f"id: {number}\ndata: e{number}\n\n".encode())
            await anyio.sleep(self.gap_s)
        await responder.finish()

    def entry(self, **changes):
        entry = {
            "service": "s",
            "address": self.address,
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "born": 1,
            "sequence": 1,
        }
        entry.update(changes)
        return entry
