"""The log lines about a failed or slow request must be enough to find its cause."""

import io
import json

import pytest

from foxtailbank import request_timeline
from foxtailbank.cli import run
from foxtailbank.cli_context import Context
from foxtailbank.exit_code import ExitCode
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.report_intervals import SMALL_GROUP, PeerGroup
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.body_source import BodyFraming
from foxtailbank.http1.failures import ConnectionBroken, ResponseTimeout
from foxtailbank.logs import Logs
from serving_fakes import FakeResponse, ServingWorld, make_route, make_routes

STREAM = make_route(kind=RouteKind.STREAM, max_attempts=1)


def run_story(*words):
    context = Context(
        stdin=io.BytesIO(),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        environment={},
    )
    code = run(["story", *words], context)
    return code, context.stdout.getvalue(), context.stderr.getvalue()


class BreakingAnswer(FakeResponse):
    """Sends its parts, then fails with a connection reset."""

    async def next_chunk(self, timeout_ms):
        part = await super().next_chunk(timeout_ms)
        if part is None:
            raise ConnectionBroken(detail="reset")
        return part


def fill_all_workers(world):
    for worker in ("w0", "w1", "w2"):
        for _ in range(8):
            world.fleet.add_in_flight(worker, LoadKind.ONLINE)


def fill_workers_from_other_vms(world):
    """Fill the workers of a large fleet with requests that this VM has no report of."""
    world.fleet.tiers.set_peer_count(PeerGroup.FAR, SMALL_GROUP + 1)
    world.routes.apply(make_routes(reservation_ms_by_service={"s": 2_000}))
    world.client.full = {"w0", "w1", "w2"}
    for worker in world.client.full:
        world.fleet.add_in_flight(worker, LoadKind.ONLINE)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("route", "script", "before", "causes"),
    [
        pytest.param(
            make_route(kind=RouteKind.UNSAFE),
            [],
            fill_all_workers,
            ["call_refused", "reason=overloaded", "status=503"],
            id="refused",
        ),
        pytest.param(
            STREAM,
            [BreakingAnswer(parts=(b"id: 1\ndata: a\n\n",))],
            None,
            ["attempt_failed", "connection_broken: reset", "endpoint=w", "status=0"],
            id="broken-off",
        ),
        pytest.param(
            STREAM,
            [
                FakeResponse(
                    parts=(b"id: 1\ndata: a\n\nid: 2",),
                    framing=BodyFraming.CONNECTION_END,
                )
            ],
            None,
            ["stream ended within an event", "framing=connection_end", "status=0"],
            id="broken-off-without-a-length",
        ),
        pytest.param(
            make_route(max_attempts=2),
            [FakeResponse(status=500), ResponseTimeout(detail="nothing")],
            None,
            ["status 500", "server_silent", "endpoint_avoided", "status=504"],
            id="failed-twice",
        ),
        pytest.param(
            STREAM,
            [FakeResponse(parts=(b"id: 1\ndata: a\n\n",))],
            fill_workers_from_other_vms,
            ["place_refused", "first_byte_ms=", "endpoint=w", "count=1", "status=200"],
            id="late",
        ),
    ],
)
async def test_timeline_shows_the_cause_of_a_failure(
    tmp_path, route, script, before, causes
):
    output = io.StringIO()
    logs = Logs(vm="vm-1", zone="z1", stream=output)
    world = ServingWorld(*script, logs=logs)
    if before is not None:
        before(world)
    await world.serve(route, request_id="q1", tokens=450)
    await ServingWorld(FakeResponse(), logs=logs).serve(make_route(), request_id="q2")
    path = tmp_path / "vm-1.log"
    path.write_text(output.getvalue())
    code, text, _ = run_story("q1", str(path))
    assert code == ExitCode.OK
    for cause in causes:
        assert cause in text
    assert "q2" not in text


def log_line(vm, second, event, **fields):
    time = f"2026-05-31T10:00:{second:02}.5+00:00"
    return json.dumps({"event": event, "vm": vm, "time": time, **fields})


def test_lines_of_several_vms_are_sorted_by_time(tmp_path):
    files = {
        "b.log": [
            log_line("b", 9, "item_finished", job_id="s1"),
            log_line("b", 30, "store_lost", task="submissions"),
        ],
        "a.log": [
            "not a line",
            log_line("a", 5, "submission_accepted", job_id="s1"),
            log_line("a", 6, "store_lost", task="submissions"),
            log_line("a", 7, "endpoint_lost", endpoint="other"),
            "{}",
        ],
    }
    for name, lines in files.items():
        (tmp_path / name).write_text("\n".join(lines) + "\n")
    timeline = request_timeline.build_timeline(
        "s1", [tmp_path / name for name in files]
    )
    assert [entry.event for entry in timeline.lines] == [
        "submission_accepted",
        "item_finished",
    ]
    assert [(entry.vm, entry.event) for entry in timeline.around] == [
        ("a", "store_lost")
    ]
    assert timeline.unreadable == 2
    code, text, warnings = run_story("--json", "s1", *map(str, tmp_path.iterdir()))
    assert code == ExitCode.OK
    assert json.loads(text)["request_id"] == "s1"
    assert "2 lines are no log" in warnings


def test_unknown_id_and_missing_file_have_different_exit_codes(tmp_path):
    path = tmp_path / "a.log"
    path.write_text(log_line("a", 5, "vm_started"))
    code, text, _ = run_story("none", str(path))
    assert (code, text) == (ExitCode.NOT_FOUND, "no line names none\n")
    code, _, errors = run_story("none", str(tmp_path / "missing.log"))
    assert code == ExitCode.INVALID_INPUT
    assert "missing.log" in errors
