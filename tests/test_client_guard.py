"""What the guard does to clients has a metric and a bounded log line."""

import io
import json

from foxtailbank.clock import ManualClock
from foxtailbank.logs import Logs
from foxtailbank.memory_limits import MemoryLimits
from foxtailbank.metrics import Metrics
from foxtailbank_platform import client_guard

REFUSED = 50


def test_refusals_are_counted_by_status_with_a_line_a_second():
    clock = ManualClock(start_ms=1_000)
    output = io.StringIO()
    metrics = Metrics()
    budget = client_guard.make_budget(
        max_fds=1_024,
        memory=MemoryLimits(memory_mb=512),
        clock=clock,
        logs=Logs(vm="vm-1", zone="z1", stream=output),
        metrics=metrics,
    )
    for _ in range(REFUSED):
        for status in (408, 413, 431):
            budget.on_refuse(status)
    clock.advance(client_guard.LINE_PERIOD_MS)
    budget.on_refuse(413)
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    assert [line["event"] for line in lines] == ["requests_refused"] * 2
    assert [line["count"] for line in lines] == [1, 3 * REFUSED]
    assert lines[1]["reason"] == "408: 49, 413: 51, 431: 50"
    exposed = metrics.exposition().decode()
    for status, count in ((408, REFUSED), (413, REFUSED + 1), (431, REFUSED)):
        name = f'requests_refused_total{{entry="",reason="{status}"}}'
        assert f"foxtailbank_{name} {float(count)}" in exposed
