"""Stand-in of the platform's store: a log with keyed topics of one partition."""

import asyncio
import base64
import dataclasses
import json
import struct
import time
import typing as t
import urllib.parse

from standins_3.web import HttpServer, Request, Response

PAGE_KEYS = 500
MAX_PAGE_BYTES = 1 << 20
REMEMBERED_APPENDS = 5


@dataclasses.dataclass(kw_only=True)
class Producer:
    """What the store remembers of one producer of one partition."""

    epoch: int = 0
    sequence: int = 0
    offsets: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Topic:
    """Records of a topic, as (key, value)."""

    records: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    producers: dict[str, Producer] = dataclasses.field(default_factory=dict)


class Store:
    """State of the store, which all its ports share."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._members: dict[str, dict[str, float]] = {}
        self._generation = 0
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: t.Any) -> None:
        """Write a record as the operator or a worker does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._topic(topic).records.append((key.encode(), data))
        self._notify()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        newest = dict(self._topic(topic).records)
        return {key.decode(): value for key, value in newest.items() if value}

    async def respond(self, request: Request) -> Response:
        """Carry out one call."""
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        match path.rpartition("/")[2]:
            case "log-append":
                return self._append(query, request.body)
            case "log-read":
                return await self._read(query)
            case "log-newest":
                return self._newest(query)
            case "log-join":
                return self._join(json.loads(request.body))
            case "log-leave":
                return self._leave(json.loads(request.body))
            case "log-owners":
                return self._owners(query["group"])
        return Response(status=404)

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _append(self, query: dict[str, str], body: bytes) -> Response:
        topic = self._topic(query["topic"])
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        producer = topic.producers.setdefault(query["producer"], Producer())
        if epoch < producer.epoch:
            return _json(409, {"why": "fenced"})
        if epoch > producer.epoch:
            producer.epoch, producer.sequence = epoch, sequence - 1
            producer.offsets.clear()
        if sequence in producer.offsets:
            offset = producer.offsets[sequence]
            return _json(200, {"offset": offset, "end": len(topic.records)})
        if sequence != producer.sequence + 1:
            return _json(409, {"why": "seq", "expected": producer.sequence + 1})
        offset = len(topic.records)
        topic.records += _decode_records(body)
        producer.sequence = sequence
        producer.offsets[sequence] = offset
        producer.offsets.pop(sequence - REMEMBERED_APPENDS, None)
        self._notify()
        return _json(200, {"offset": offset, "end": len(topic.records)})

    async def _read(self, query: dict[str, str]) -> Response:
        topic = self._topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(topic.records) <= start:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        max_bytes = int(query.get("max_kb", "1024")) * 1024
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            content = bytes((len(key),)) + key + value
            if len(body) + len(content) > max_bytes and len(body) > 16:
                break
            body += struct.pack(">I", len(content)) + content
        return Response(status=200, body=body)

    def _newest(self, query: dict[str, str]) -> Response:
        topic = self._topic(query["topic"])
        newest = {key: at for at, (key, _) in enumerate(topic.records)}
        after = query.get("after", "").encode()
        items: list[dict[str, t.Any]] = []
        size = 0
        more = False
        for key in sorted(newest):
            value = topic.records[newest[key]][1]
            if not value or key <= after:
                continue
            size += len(value)
            if items and (len(items) == PAGE_KEYS or size > MAX_PAGE_BYTES):
                more = True
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": encoded, "offset": newest[key]})
        end = len(topic.records)
        return _json(200, {"items": items, "has_more": more, "end": end})

    def _live_members(self, group: str) -> list[str]:
        members = self._members.get(group, {})
        now = time.monotonic()
        return [name for name, until in members.items() if until > now]

    def _join(self, body: dict[str, t.Any]) -> Response:
        group = body["group"]
        live = {n: self._members[group][n] for n in self._live_members(group)}
        if body["member"] not in live:
            self._generation += 1
        live[body["member"]] = time.monotonic() + body["ttl_ms"] / 1000
        self._members[group] = live
        held = next(iter(live)) == body["member"]
        parts = [[topic, 0, 0] for topic in body["topics"]] if held else []
        answer = {"generation": max(1, self._generation), "parts": parts}
        return _json(200, {**answer, "ttl_ms": body["ttl_ms"]})

    def _leave(self, body: dict[str, t.Any]) -> Response:
        self._members.get(body["group"], {}).pop(body["member"], None)
        self._generation += 1
        return _json(200, {})

    def _owners(self, group: str) -> Response:
        live = self._live_members(group)
        parts = [["keyed.addresses", 0, live[0], 0]] if live else []
        return _json(200, {"parts": parts})


class StorePort(HttpServer):
    """Address at which one VM reaches the store.

    Attributes
    ----------
    is_cut : bool
        Whether the VM is partitioned from the store: no call gets through, and none
        is answered.
    is_turned_away : bool
        Whether the store refuses all calls of the VM with 503.
    """

    def __init__(self, *, store: Store, ip: str) -> None:
        super().__init__(ip=ip)
        self._store = store
        self.is_cut = False
        self.is_turned_away = False

    async def respond(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> Response | None:
        """Pass a call on to the store, unless the VM is cut off or turned away."""
        if self.is_turned_away:
            return Response(status=503)
        if not self.is_cut:
            response = await self._store.respond(request)
            if not self.is_cut:
                return response
        await asyncio.Event().wait()  # until the VM closes the connection
        return None


def _json(status: int, content: dict[str, t.Any]) -> Response:
    headers = (("Content-Type", "application/json"),)
    body = json.dumps(content).encode()
    return Response(status=status, headers=headers, body=body)


def _decode_records(body: bytes) -> list[tuple[bytes, bytes]]:
    records = []
    while body:
        (length,) = struct.unpack(">I", body[:4])
        content, body = body[4 : 4 + length], body[4 + length :]
        key_end = 1 + content[0]
        records.append((content[1:key_end], content[key_end:]))
    return records
