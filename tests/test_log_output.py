import json
import os

import pytest

from foxtailbank.clock import ManualClock
from foxtailbank.log_output import BURST_LINES, LINES_PER_S, LogOutput


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 16)
        except BlockingIOError:
            return data.decode().splitlines()
        data += part


def test_slow_reader_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    output = LogOutput(descriptor=writer, clock=ManualClock())
    for _ in range(300):
        output.write("x" * 999 + "\n")
    assert output.dropped > 0
    lost = output.dropped
    seen = read_lines(reader)
    assert set(seen[:-1]) == {"x" * 999}
    output.write("y\n")
    later = "".join(read_lines(reader))
    assert f'"count": {lost}' in later
    assert later.endswith("y")


def test_flood_is_limited_and_dropped_lines_reported(pipe):
    reader, writer = pipe
    clock = ManualClock()
    output = LogOutput(descriptor=writer, clock=clock)
    for _ in range(BURST_LINES + 50):
        output.write("x\n")
    assert output.dropped == 50
    assert len(read_lines(reader)) == BURST_LINES
    clock.advance(1_000)
    output.write("y\n")
    notice, line = read_lines(reader)
    assert json.loads(notice) == {"event": "lines_dropped", "count": 50}
    assert line == "y"
    for _ in range(LINES_PER_S + 50):
        output.write("x\n")
    assert output.dropped == 51
