"""The platform's store: keyed topics of one partition, and groups, in memory."""

import asyncio
import base64
import json
import struct
import time
import typing as t
import urllib.parse

from review.standins_2.http1 import Answer, Request

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_KEYS = 500
PAGE_BYTES = 1_000_000
APPEND_S = 0.004
REPEATS_KEPT = 5
READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Topic:
    """One log.

    Attributes
    ----------
    records : list of (bytes, bytes)
        Keys and values by offset.
    first_offsets : dict
        First offset of an append by producer and sequence number.
    last_sequence : dict
        Last sequence number by producer.
    """

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.first_offsets: dict[tuple[str, int], int] = {}
        self.last_sequence: dict[str, int] = {}
        self.newest: dict[bytes, tuple[bytes, int]] = {}
        self.lock = asyncio.Lock()

    def add(self, key: bytes, value: bytes) -> None:
        """Append one record."""
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))


class Store:
    """Answers the calls of the store's page that entry VMs make.

    Attributes
    ----------
    topics : dict of str to Topic
        All logs by name.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self._groups: dict[str, tuple[str, float, int]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a record as the operator or a worker does; None drops it."""
        data = b"" if value is None else json.dumps(value).encode()
        self._topic(topic).add(key.encode(), data)
        self._notify()

    async def handle(self, request: Request, answer: Answer) -> None:
        """Answer one call."""
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        name = request.path.rpartition("/")[2]
        if name == "log-append":
            await self._append(request, query, answer)
        elif name == "log-read":
            await self._read(query, answer)
        elif name == "log-newest":
            await self._newest(query, answer)
        elif name in ("log-join", "log-leave"):
            await self._member(name, json.loads(request.body), answer)
        elif name == "log-owners":
            await self._owners(query["group"], answer)
        else:
            await answer.send(404)

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _append(
        self, request: Request, query: dict[str, str], answer: Answer
    ) -> None:
        if query["topic"] in READ_ONLY_TOPICS:
            await answer.send(403)
            return
        records = _decode(request.body)
        sizes = [1 + len(key) + len(value) for key, value in records]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            await answer.send(413)
            return
        topic = self._topic(query["topic"])
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            status, body = self._append_now(topic, records, query)
        await _send_json(answer, status, body)

    def _append_now(
        self, topic: Topic, records: list[tuple[bytes, bytes]], query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        producer, sequence = query["producer"], int(query["sequence"])
        step = (producer, sequence)
        if step not in topic.first_offsets:
            last = topic.last_sequence.get(producer)
            if last is not None and sequence != last + 1:
                return 409, {"why": "seq", "expected": last + 1}
            topic.first_offsets[step] = len(topic.records)
            topic.first_offsets.pop((producer, sequence - REPEATS_KEPT), None)
            topic.last_sequence[producer] = sequence
            for key, value in records:
                topic.add(key, value)
            self._notify()
        offset = topic.first_offsets[step]
        return 200, {"offset": offset, "end": len(topic.records)}

    async def _read(self, query: dict[str, str], answer: Answer) -> None:
        topic = self._topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1_000
        while len(topic.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self._changed.wait(), max(0.001, until - time.monotonic())
                )
            except TimeoutError:
                break
        max_bytes = int(query.get("max_kb", "1024")) * 1_024
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for key, value in topic.records[start:]:
            content = bytes((len(key),)) + key + value
            size += 4 + len(content)
            if len(parts) > 1 and size > max_bytes:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        await answer.send(200, {}, b"".join(parts))

    async def _newest(self, query: dict[str, str], answer: Answer) -> None:
        topic = self._topic(query["topic"])
        after = query.get("after", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys:
            value, offset = topic.newest[key]
            encoded = base64.b64encode(value).decode()
            size += len(encoded)
            if items and (size > PAGE_BYTES or len(items) >= PAGE_KEYS):
                break
            items.append({"key": key.decode(), "value": encoded, "offset": offset})
        page: dict[str, object] = {
            "items": items,
            "has_more": len(items) < len(keys),
            "end": len(topic.records),
        }
        await _send_json(answer, 200, page)

    async def _member(self, name: str, body: dict[str, t.Any], answer: Answer) -> None:
        group, member = body["group"], body["member"]
        holder, until, generation = self._groups.get(group, ("", 0.0, 0))
        is_free = holder == member or time.monotonic() >= until
        if name == "log-leave":
            if holder == member:
                self._groups.pop(group)
            await _send_json(answer, 200, {})
            return
        if is_free:
            generation += holder != member
            until = time.monotonic() + body["ttl_ms"] / 1_000
            self._groups[group] = (member, until, generation)
        rows = [[body["topics"][0], 0, 0]] if is_free else []
        await _send_json(answer, 200, {"generation": generation, "parts": rows})

    async def _owners(self, group: str, answer: Answer) -> None:
        holder, until, _ = self._groups.get(group, ("", 0.0, 0))
        is_held = bool(holder) and time.monotonic() < until
        rows = [["t", 0, holder, 0]] if is_held else []
        await _send_json(answer, 200, {"parts": rows})


async def _send_json(answer: Answer, status: int, body: dict[str, object]) -> None:
    headers = {"Content-Type": "application/json"}
    await answer.send(status, headers, json.dumps(body).encode())


def _decode(body: bytes) -> list[tuple[bytes, bytes]]:
    records = []
    at = 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        content = body[at + 4 : at + 4 + length]
        at += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end], content[key_end:]))
    return records
