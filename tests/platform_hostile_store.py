"""A store whose answers are linearizable and whose timing is hostile."""

import base64
import bisect
import collections
import dataclasses
import enum
import json
import struct

import anyio

from foxtailbank.clock import MS_PER_S, ManualClock
from foxtailbank.keyed_log import KeyedRecord, StoreRefused, StoreResponseLost
from foxtailbank_platform.framing import decode_slice, encode_records
from foxtailbank_platform.store import CALL_TIMEOUT_MS, StoreClient, _Response

BOUNDS = struct.Struct(">QQ")
FRAME_BYTES = 5  # of a record, beside key and value
REMEMBERED_APPENDS = 5  # of each producer


class Store:
    """One topic: appends one at a time, reads of a moment."""

    def __init__(self, schedule):
        self._schedule = schedule
        self.records = []
        self.first = 0
        self.page_size = 7
        self.max_read_bytes = 1_500
        self.ignored_poll_count = 0
        self._newest_by_key = {}
        self._polls = []
        self._end_changes = [(0.0, 0)]  # since when, and the end
        self._ends_by_producer = collections.defaultdict(dict)

    @property
    def end(self):
        return len(self.records)

    def end_at(self, when_s):
        """Return the end of the log at an earlier time."""
        number = bisect.bisect_right(self._end_changes, when_s, key=lambda row: row[0])
        return self._end_changes[max(0, number - 1)][1]

    def truncate(self, kept_count):
        """Let the oldest records expire."""
        self.first = max(self.first, self.end - kept_count)

    def handle(self, path, query, body, wait_ms, reply):
        match path:
            case "log-append":
                reply(*self._append(query, body))
            case "log-newest":
                reply(*self._newest(query.get("after", "")))
            case "log-read":
                self._poll(int(query["from"]), wait_ms, reply)

    def _append(self, query, body):
        ends = self._ends_by_producer[query["producer"]]
        sequence = int(query["sequence"])
        if sequence not in ends:
            expected = max(ends, default=0) + 1
            if sequence != expected:
                return 409, json.dumps({"why": "seq", "expected": expected}).encode()
            self._store(decode_slice(bytes(BOUNDS.size) + body, start=self.end).records)
            ends[sequence] = self.end
            self._end_changes.append((self._schedule.now_s, self.end))
            ends.pop(sequence - REMEMBERED_APPENDS, None)
            self._answer_polls()
        return 200, json.dumps({"offset": 0, "end": ends[sequence]}).encode()

    def _store(self, records):
        for record in records:
            self.records.append(record)
            self._newest_by_key.pop(record.key, None)
            if record.value:
                self._newest_by_key[record.key] = record

    def _newest(self, after):
        if not self.records:
            return 404, b""
        keys = sorted(key for key in self._newest_by_key if key > after)
        page = [self._newest_by_key[key] for key in keys[: self.page_size]]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in page
        ]
        has_more = len(keys) > len(page)
        answer = {"items": items, "has_more": has_more, "end": self.end}
        return 200, json.dumps(answer).encode()

    def _poll(self, start, wait_ms, reply):
        if start < self.end or not wait_ms or start < self.first:
            reply(*self._read(start))
            return
        is_ignored = self.ignored_poll_count > 0
        self.ignored_poll_count -= is_ignored
        poll = (start, reply)
        if not is_ignored:
            self._polls.append(poll)
        deadline_s = self._schedule.now_s + wait_ms / MS_PER_S
        self._schedule.at(deadline_s, lambda: self._end_poll(poll, is_ignored))

    def _end_poll(self, poll, is_ignored):
        if is_ignored or poll in self._polls:
            if not is_ignored:
                self._polls.remove(poll)
            poll[1](*self._read(poll[0]))

    def _answer_polls(self):
        polls, self._polls = self._polls, []
        for start, reply in polls:
            reply(*self._read(start))

    def _read(self, start):
        if not self.records:
            return 404, b""
        if start < self.first:
            return 410, b""
        part, size = [], 0
        for record in self.records[start:]:
            size += len(record.key.encode()) + len(record.value) + FRAME_BYTES
            if part and size > self.max_read_bytes:
                break
            part.append(KeyedRecord(key=record.key, value=record.value))
        bounds = BOUNDS.pack(self.end, self.first)
        return 200, bounds + encode_records(tuple(part))


class PathState(enum.Enum):
    """State of the path between a VM and the store."""

    CALM = "calm"
    SLOW = "slow"
    LOSSY = "lossy"
    CUT = "cut"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallFate:
    """What becomes of a call; a time of None is a loss."""

    request_s: float | None
    answer_s: float | None
    is_body_slow: bool = False


class Path:
    """Draws the outcome of the calls of one VM."""

    def __init__(self, rng):
        self._rng = rng
        self.state = PathState.CALM

    def draw_fate(self):
        rng = self._rng
        match self.state:
            case PathState.CALM:
                return CallFate(
                    request_s=rng.uniform(0.001, 0.02),
                    answer_s=rng.uniform(0.001, 0.02),
                )
            case PathState.SLOW:
                return CallFate(
                    request_s=rng.expovariate(1 / rng.choice((0.05, 0.2, 1.0))),
                    answer_s=rng.expovariate(1 / rng.choice((0.05, 0.3, 1.0))),
                    is_body_slow=rng.random() < 0.3,
                )
            case PathState.LOSSY:
                is_done = rng.random() < 0.7
                return CallFate(
                    request_s=rng.uniform(0.001, 2.5) if is_done else None,
                    answer_s=rng.uniform(0.001, 0.4) if rng.random() < 0.6 else None,
                )
        return CallFate(request_s=None, answer_s=None)


class HostileClient(StoreClient):
    """Sends the calls of one process; its time-outs are those of the product."""

    def __init__(self, *, schedule, process, store, path):
        super().__init__(address="127.0.0.1:9", clock=ManualClock())
        self._schedule = schedule
        self._process = process
        self._store = store
        self._path = path

    async def call(self, method, path, query, body, wait_ms, *, transfer_ms=0):
        if self._path.state is PathState.REFUSED:
            await anyio.sleep(0.005)
            raise StoreRefused(detail=path)
        fate = self._path.draw_fate()
        answered = self._process.create_future()
        self._send(fate, (path, query, body, wait_ms), answered)
        limit_ms = wait_ms + CALL_TIMEOUT_MS
        limit_ms += transfer_ms if fate.is_body_slow else 0
        try:
            with anyio.fail_after(limit_ms / MS_PER_S):
                status, response = await answered
        except TimeoutError as failure:
            raise StoreResponseLost(detail=path) from failure
        return _Response(status=status, body=response)

    def _send(self, fate, call, answered):
        def reply(status, response):
            if fate.answer_s is not None:
                self._schedule.at(
                    self._schedule.now_s + fate.answer_s,
                    lambda: deliver(status, response),
                )

        def deliver(status, response):
            if self._process.is_running and not answered.done():
                answered.set_result((status, response))

        if fate.request_s is not None:
            self._schedule.at(
                self._process.now_s + fate.request_s,
                lambda: self._store.handle(*call, reply),
            )
