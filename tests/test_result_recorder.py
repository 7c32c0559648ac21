import types

import pytest

from foxtailbank.open_chunk import OpenChunk
from foxtailbank.result_recorder import ResultRecorder

pytestmark = pytest.mark.anyio


class FakeService:
    """Keeps the payloads and ledger entries appended to it."""

    incarnation = "vm@1"

    def __init__(self):
        self.entries = []
        self.incarnation = "a@1"
        self.ledger = types.SimpleNamespace(jobs_by_id={})
        self.bodies = []
        self.payloads = types.SimpleNamespace(append=self.append_payload)
        self.writer = types.SimpleNamespace(append=self.append_entry)

    async def append_payload(self, *, body, **fields):
        self.bodies.append(body)
        return len(self.bodies) - 1

    async def append_entry(self, entry, **fields):
        self.entries.append(entry)


def chunk_with_result(position):
    chunk = OpenChunk(
        job_id="job", index=0, owner="o", lines=[b"{}"] * 4, open_bitmap=0b1111
    )
    chunk.finish(position, b"line-%d" % position, failed=False)
    return chunk


async def test_chunk_that_is_open_twice_loses_no_results():
    service = FakeService()
    recorder = ResultRecorder(service=service)
    for position in (1, 3):
        recorder.add_chunk(chunk_with_result(position))
    await recorder.flush()
    assert sorted(service.bodies) == [b"line-1", b"line-3"]
    assert len(service.entries) == 2
    assert recorder.buffered_bytes == 0


async def test_results_are_recorded_once():
    service = FakeService()
    recorder = ResultRecorder(service=service)
    chunk = chunk_with_result(2)
    recorder.add_chunk(chunk)
    recorder.add_chunk(chunk)
    await recorder.flush()
    await recorder.flush()
    assert service.bodies == [b"line-2"]
