"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import struct
import time
import typing as t

from review.standins import http

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
KEPT_APPENDS = 5


class _Producer:
    """Epoch, last sequence number and last answers of one producer."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.answers: dict[int, bytes] = {}


class _Topic:
    """One partition of a keyed topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.producers: dict[str, _Producer] = {}
        self.lock = asyncio.Lock()


class Store:
    """Keyed topics with one partition, and groups."""

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = {}
        self.too_large = 0
        self._members: dict[str, tuple[str, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen."""
        host, _, port = address.partition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=http.MAX_LINE_BYTES
        )

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a worker does; an empty value drops."""
        self._topic(topic).records.append(_content(key.encode(), value))
        self._notify()

    def put_json(self, topic: str, key: str, value: t.Any) -> None:
        """Write a record that holds JSON."""
        self.put(topic, key, json.dumps(value).encode())

    def _topic(self, name: str) -> _Topic:
        return self.topics.setdefault(name, _Topic())

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http.read_message(reader)) is not None:
                status, body = await self._handle(request)
                writer.write(http.encode_response(status, {}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: http.Message) -> tuple[int, bytes]:
        name = request.path.rpartition("/")[2]
        if name == "log-append":
            return await self._append(request)
        if name == "log-read":
            return await self._read(request.query)
        if name == "log-newest":
            return self._newest(request.query)
        if name == "log-join":
            body = json.loads(request.body)
            until = time.monotonic() + body["ttl_ms"] / 1000
            self._members[body["group"]] = (body["member"], until)
            return 200, b'{"generation":1,"parts":[]}'
        if name == "log-leave":
            self._members.pop(json.loads(request.body)["group"], None)
            return 200, b"{}"
        if name == "log-owners":
            member, until = self._members.get(request.query["group"], ("", 0.0))
            held = time.monotonic() < until
            rows = [["keyed.addresses", 0, member, 0]] if held else []
            return 200, json.dumps({"parts": rows}).encode()
        return 404, b""

    async def _append(self, request: http.Message) -> tuple[int, bytes]:
        query = request.query
        contents = _split(request.body)
        total = sum(len(content) for content in contents)
        if total > CALL_BYTES or any(len(c) > RECORD_BYTES for c in contents):
            self.too_large += 1
            return 413, b'{"why":"too large"}'
        topic = self._topic(query["topic"])
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            producer = topic.producers.setdefault(query["producer"], _Producer())
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < producer.epoch:
                return 409, b'{"why":"fenced"}'
            if epoch > producer.epoch:
                producer.epoch, producer.sequence = epoch, None
                producer.answers = {}
            if sequence in producer.answers:
                return 200, producer.answers[sequence]
            if producer.sequence is not None and sequence != producer.sequence + 1:
                expected = producer.sequence + 1
                answer = {"why": "seq", "expected": expected}
                return 409, json.dumps(answer).encode()
            offset = len(topic.records)
            topic.records += contents
            answer = {"offset": offset, "end": len(topic.records)}
            producer.sequence = sequence
            producer.answers[sequence] = json.dumps(answer).encode()
            while len(producer.answers) > KEPT_APPENDS:
                del producer.answers[min(producer.answers)]
        self._notify()
        return 200, producer.answers[sequence]

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        if query["topic"] not in self.topics:
            return 404, b""
        records = self._topic(query["topic"]).records
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(records) <= start and (left := until - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                break
        data = struct.pack(">QQ", len(records), 0)
        most = int(query.get("max_kb", "1024")) * 1024
        for content in records[start:]:
            if len(data) > 16 and len(data) + len(content) > most:
                break
            data += struct.pack(">I", len(content)) + content
        return 200, data

    def _newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        if query["topic"] not in self.topics:
            return 404, b""
        records = self._topic(query["topic"]).records
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, content in enumerate(records):
            end = 1 + content[0]
            newest[content[1:end].decode()] = (content[end:], offset)
        items: list[dict[str, t.Any]] = []
        size = 0
        has_more = False
        for key in sorted(newest):
            value, offset = newest[key]
            if not value or key <= query.get("after", ""):
                continue
            size += len(value) * 4 // 3
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                has_more = True
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        page = {"items": items, "has_more": has_more, "end": len(records)}
        return 200, json.dumps(page).encode()


def _content(key: bytes, value: bytes) -> bytes:
    return bytes((len(key),)) + key + value


def _split(body: bytes) -> list[bytes]:
    contents = []
    at = 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        contents.append(body[at + 4 : at + 4 + length])
        at += 4 + length
    return contents
