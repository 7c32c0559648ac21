import io
import itertools
import json
import pathlib

import httpx
import msgspec
import pytest

from burn_sample import sample_report
from foxtailbank.cli import build_parser, run
from foxtailbank.cli_context import Context
from foxtailbank.entry import key_hash
from foxtailbank.exit_code import EXIT_CODE_MEANINGS, ExitCode

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
KEYS = {"FOXTAILBANK_KEY": "demo-key", "FOXTAILBANK_ADMIN_KEY": "demo-admin"}
ENTRY = {
    "name": "tributes",
    "owner": "mwangaza",
    "work_class": "online",
    "kind": "engine",
    "pool": "wordsmith",
    "model": "wordsmith",
    "key_hashes": [key_hash("demo-key")],
    "idempotent": True,
}
STORED = {"name": "tributes", "version": 8193, "entry": ENTRY}
STATUS = {
    "id": "job-7f3a",
    "status": "running",
    "counts": {"total": 3, "completed": 1, "failed": 0, "pending": 2},
    "deadline_ms": 1_800_000_000_000,
    "expected_finish_ms": 1_799_999_000_000,
}
FINISHED = STATUS | {"status": "finished", "counts": {"total": 3, "completed": 3}}
FAILED = STATUS | {
    "status": "finished",
    "counts": {"total": 3, "completed": 2, "failed": 1},
}
CANCELLED = STATUS | {"status": "cancelled"}


class FakeFleet:
    """Answers requests from a table and records them."""

    def __init__(self, answers):
        self.answers = {
            route: iter(
                answer if isinstance(answer, list) else itertools.repeat(answer)
            )
            for route, answer in answers.items()
        }
        self.requests = []

    def __call__(self, request):
        request.read()
        self.requests.append(request)
        answers = self.answers.get((request.method, request.url.path))
        if answers is None:
            return httpx.Response(404, json=error_body("not_found", "no such thing"))
        answer = next(answers)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, httpx.Response):
            return answer
        return httpx.Response(200, content=msgspec.json.encode(answer))


def error_body(code, message, **more):
    return {"error": {"type": "t", "code": code, "message": message, **more}}


def error_response(status, code, message, **more):
    return httpx.Response(status, json=error_body(code, message, **more))


def run_cli(words, answers=None, *, environment=KEYS, stdin=b""):
    fleet = FakeFleet(answers or {})
    seconds = itertools.count()
    context = Context(
        stdin=io.BytesIO(stdin),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        environment=environment,
        transport=httpx.MockTransport(fleet),
        sleep=lambda _: None,
        monotonic=lambda: float(next(seconds)),
    )
    code = run(words.split(), context)
    return code, context.stdout.getvalue(), context.stderr.getvalue(), fleet


VMS = {
    "vms": [
        {"vm": "entry-a1", "zone": "nairobi-a", "ready": True, "catalogue_offset": 7},
        {"vm": "entry-b1", "zone": "nairobi-b", "ready": False, "lag_ms": 12},
    ]
}
ENDPOINTS = {
    "endpoints": [
        {"endpoint": "engine-1", "zone": "nairobi-a", "running": 4, "draining": False}
    ]
}
HISTORY = {
    "history": [
        {"version": 1, "based_on": 0, "entry": ENTRY, "by": "asha", "at_ms": 5},
        {"version": 4097, "based_on": 1, "entry": None, "by": "jon", "at_ms": 9},
    ]
}
QUARANTINED = {"quarantined": [{"fingerprint": "9f2c", "owner": "mwangaza"}]}
OUTPUTS = [
    ("catalogue list", ("GET", "/admin/catalogue"), {"entries": [STORED]}),
    ("catalogue list", ("GET", "/admin/catalogue"), {"entries": []}),
    ("catalogue get tributes", ("GET", "/admin/catalogue/tributes"), STORED),
    (
        "catalogue history tributes",
        ("GET", "/admin/catalogue/tributes/history"),
        HISTORY,
    ),
    ("vms", ("GET", "/admin/vms"), VMS),
    ("vms --json", ("GET", "/admin/vms"), VMS),
    ("endpoints", ("GET", "/admin/endpoints"), ENDPOINTS),
    ("jobs", ("GET", "/admin/jobs"), {"jobs": []}),
    ("quarantine list", ("GET", "/admin/quarantine"), QUARANTINED),
    ("quarantine clear 9f2c", ("DELETE", "/admin/quarantine/9f2c"), {"cleared": True}),
    ("report burn", ("GET", "/admin/report/burn"), sample_report()),
    ("batch status job-7f3a", ("GET", "/v1/batches/job-7f3a"), STATUS),
    ("batch status job-7f3a --json", ("GET", "/v1/batches/job-7f3a"), STATUS),
    ("batch cancel job-7f3a", ("POST", "/v1/batches/job-7f3a/cancel"), CANCELLED),
]


@pytest.mark.parametrize(("words", "route", "answer"), OUTPUTS)
def test_output(words, route, answer, snapshot):
    code, output, errors, fleet = run_cli(words, {route: answer})
    assert code == ExitCode.OK
    assert (output, errors) == snapshot
    is_admin = route[1].startswith("/admin")
    key = KEYS["FOXTAILBANK_ADMIN_KEY" if is_admin else "FOXTAILBANK_KEY"]
    assert fleet.requests[0].headers["authorization"] == f"Bearer {key}"


FAILURES = [
    (error_response(400, "invalid_request", "no"), ExitCode.INVALID_INPUT),
    (error_response(401, "invalid_api_key", "who?"), ExitCode.REFUSED),
    (error_response(403, "forbidden", "not yours"), ExitCode.REFUSED),
    (error_response(404, "not_found", "no"), ExitCode.NOT_FOUND),
    (error_response(409, "version_conflict", "was 3"), ExitCode.CONFLICT),
    (error_response(429, "rate_limited", "slow", retry_after_ms=70), ExitCode.LIMITED),
    (error_response(503, "log_unavailable", "down", ran="no"), ExitCode.UNAVAILABLE),
    (error_response(500, "internal", "bug"), ExitCode.INTERNAL),
    (httpx.Response(200, content=b"<html>"), ExitCode.INTERNAL),
    (httpx.Response(502, content=b"\xff"), ExitCode.UNAVAILABLE),
    (httpx.ConnectError("refused"), ExitCode.UNAVAILABLE),
    (httpx.ReadTimeout("late"), ExitCode.UNAVAILABLE),
    (httpx.RemoteProtocolError("cut short"), ExitCode.UNAVAILABLE),
]


@pytest.mark.parametrize(("answer", "expected"), FAILURES)
def test_failure_has_cause_next_step_and_exit_code(answer, expected, snapshot):
    code, output, errors, _ = run_cli("vms", {("GET", "/admin/vms"): [answer]})
    assert code == expected
    assert not output
    assert errors == snapshot


@pytest.mark.parametrize("words", ["vms", "batch status job-1"])
def test_missing_key_is_told_before_anything_is_sent(words, snapshot):
    code, _, errors, fleet = run_cli(words, environment={})
    assert code == ExitCode.REFUSED
    assert errors == snapshot
    assert not fleet.requests


def test_flags_go_before_environment_before_profile(tmp_path):
    profile = tmp_path / "profile.toml"
    profile.write_text('address = "127.0.0.9:1"\nadmin_key = "from-profile"\n')
    route = {("GET", "/admin/vms"): VMS}
    environment = {
        "FOXTAILBANK_PROFILE": str(profile),
        "FOXTAILBANK_ADDRESS": "127.0.0.8:2",
    }
    for words, address, key in [
        ("vms", "127.0.0.8:2", "from-profile"),
        ("vms --address 127.0.0.7:3 --admin-key k", "127.0.0.7:3", "k"),
    ]:
        _, _, _, fleet = run_cli(words, route, environment=environment)
        request = fleet.requests[0]
        assert request.url.netloc.decode() == address
        assert request.headers["authorization"] == f"Bearer {key}"


@pytest.mark.parametrize("content", ["adress = 1", "[", 'key = 5\nadmin_key = "x"'])
def test_broken_profile_shows_no_secret(tmp_path, content):
    profile = tmp_path / "profile.toml"
    profile.write_text(content)
    code, _, errors, _ = run_cli(f"vms --profile {profile}")
    assert code == ExitCode.INVALID_INPUT
    assert "profile" in errors


def test_put_uses_the_current_version_by_default(tmp_path):
    file = tmp_path / "entry.json"
    file.write_text(json.dumps(ENTRY))
    answers = {
        ("GET", "/admin/catalogue/tributes"): STORED,
        ("PUT", "/admin/catalogue/tributes"): {"version": 12289},
    }
    words = f"catalogue put tributes {file} --by asha"
    code, output, _, fleet = run_cli(words, answers)
    assert code == ExitCode.OK
    assert output == "tributes: version 12289 (was 8193)\n"
    body = json.loads(fleet.requests[1].content)
    assert (body["based_on"], body["by"]) == (8193, "asha")
    assert body["entry"]["limits"]["concurrency"] == 32


@pytest.mark.parametrize("based_on", ["--based-on 0", ""])
def test_put_of_a_new_entry_is_based_on_version_zero(based_on):
    answers = {("PUT", "/admin/catalogue/tributes"): {"version": 1}}
    file = EXAMPLES / "catalogue.toml"
    code, _, _, fleet = run_cli(f"catalogue put tributes {file} {based_on}", answers)
    assert code == ExitCode.OK
    assert json.loads(fleet.requests[-1].content)["based_on"] == 0


def test_put_accepts_the_output_of_get():
    answers = {("PUT", "/admin/catalogue/tributes"): {"version": 9}}
    words = "catalogue put tributes - --based-on 8193"
    code, _, _, _ = run_cli(words, answers, stdin=json.dumps(STORED).encode())
    assert code == ExitCode.OK


def test_invalid_entry_is_not_sent(tmp_path, snapshot):
    file = tmp_path / "entry.json"
    file.write_text(json.dumps(ENTRY | {"kind": "x", "limits": {"concurrency": 0}}))
    code, _, errors, fleet = run_cli(f"catalogue put tributes {file}")
    assert code == ExitCode.INVALID_INPUT
    assert errors.replace(str(tmp_path), "") == snapshot
    assert not fleet.requests


def test_lost_race_says_how_to_go_on(snapshot):
    conflict = error_response(409, "version_conflict", "version 9 stands")
    answers = {("DELETE", "/admin/catalogue/tributes"): conflict}
    words = "catalogue delete tributes --based-on 8"
    code, _, errors, fleet = run_cli(words, answers)
    assert code == ExitCode.CONFLICT
    assert errors == snapshot
    assert fleet.requests[0].url.params["based_on"] == "8"


def test_hash_reads_the_key_from_a_pipe():
    code, output, _, _ = run_cli("catalogue hash", stdin=b"demo-key\n")
    assert (code, output) == (ExitCode.OK, key_hash("demo-key") + "\n")


def test_submit_is_idempotent_and_sends_content_length(tmp_path):
    file = tmp_path / "items.jsonl"
    file.write_bytes(b'{"custom_id": "1"}\n' * 3)
    answers = {("POST", "/v1/batches"): STATUS}
    sent = []
    for _ in range(2):
        code, output, errors, fleet = run_cli(
            f"batch submit {file} --entry notices --deadline-s 1.5", answers
        )
        assert (code, output) == (ExitCode.OK, "job-7f3a\n")
        assert "accepted as job-7f3a" in errors
        (request,) = fleet.requests
        assert request.content == file.read_bytes()
        assert request.headers["content-length"] == str(file.stat().st_size)
        parameters = dict(request.url.params)
        assert parameters == {"entry": "notices", "deadline_ms": "1500"}
        sent.append(request.headers["idempotency-key"])
    assert sent[0] == sent[1]


@pytest.mark.parametrize("name", ["missing.jsonl", "empty.jsonl"])
def test_missing_or_empty_job_file_is_rejected(tmp_path, name):
    (tmp_path / "empty.jsonl").touch()
    code, _, errors, fleet = run_cli(f"batch submit {tmp_path / name} --entry notices")
    assert code == ExitCode.INVALID_INPUT
    assert name in errors
    assert not fleet.requests


WAIT_CASES = [
    ([STATUS, FINISHED], "", ExitCode.OK),
    ([STATUS, FAILED], "", ExitCode.ITEMS_FAILED),
    ([STATUS, CANCELLED], "", ExitCode.CONFLICT),
    ([STATUS, httpx.ConnectError("x"), FINISHED], "", ExitCode.OK),
    ([STATUS] * 9, "--timeout-s 3", ExitCode.TIMED_OUT),
    ([error_response(404, "not_found", "no such job")], "", ExitCode.NOT_FOUND),
]


@pytest.mark.parametrize(("answers", "words", "expected"), WAIT_CASES)
def test_wait(answers, words, expected, snapshot):
    route = ("GET", "/v1/batches/job-7f3a")
    code, output, errors, _ = run_cli(f"batch wait job-7f3a {words}", {route: answers})
    assert code == expected
    assert (output, errors) == snapshot


def test_results_file_is_written_atomically(tmp_path):
    target = tmp_path / "results.jsonl"
    route = ("GET", "/v1/batches/job-7f3a/results")
    words = f"batch results job-7f3a --output {target}"

    def truncated_body():
        yield b'{"custom_id": "1"}\n'
        raise httpx.ReadError("reset")

    truncated = httpx.Response(200, content=truncated_body())
    code, _, errors, _ = run_cli(words, {route: [truncated]})
    assert code == ExitCode.UNAVAILABLE
    assert "reset" in errors
    assert list(tmp_path.iterdir()) == []
    complete = httpx.Response(200, content='{"text": "Þökk"}\n'.encode())
    code, _, _, _ = run_cli(words, {route: [complete]})
    assert code == ExitCode.OK
    assert target.read_text(encoding="utf-8") == '{"text": "Þökk"}\n'


def test_results_decode_characters_split_across_chunks():
    route = ("GET", "/v1/batches/job-7f3a/results")
    data = '{"text": "Þökk"}\n'.encode()
    split_body = httpx.Response(200, content=iter([data[:11], data[11:]]))
    code, output, _, _ = run_cli("batch results job-7f3a", {route: [split_body]})
    assert (code, output.encode()) == (ExitCode.OK, data)


def test_check_of_files(tmp_path, snapshot):
    (tmp_path / "peer-secret").write_text("peers share this")
    (tmp_path / "admin-key").write_text("demo-admin")
    for name in ("settings.toml", "catalogue.toml"):
        (tmp_path / name).write_text((EXAMPLES / name).read_text())
    words = f"check {tmp_path}/settings.toml {tmp_path}/catalogue.toml"
    code, output, errors, _ = run_cli(words, environment={})
    assert (code, errors) == (ExitCode.OK, "")
    assert output.replace(str(tmp_path), "") == snapshot


def test_check_tells_all_problems_of_all_files(tmp_path, snapshot):
    (tmp_path / "a.toml").write_text('[vm]\nid = "x y"\n')
    (tmp_path / "b.toml").write_text('[entries.e]\nowner = "o"\nkind = "none"\n')
    (tmp_path / "c.json").write_text("{")
    names = " ".join(str(tmp_path / name) for name in ("a.toml", "b.toml", "c.json"))
    code, output, errors, _ = run_cli(f"check {names} {tmp_path}/d.toml")
    assert code == ExitCode.INVALID_INPUT
    assert (output + errors).replace(str(tmp_path), "") == snapshot


def test_burn_page_is_written(tmp_path):
    target = tmp_path / "burn.html"
    answers = {("GET", "/admin/report/burn"): sample_report()}
    code, output, errors, _ = run_cli(f"report burn --html {target}", answers)
    assert (code, output) == (ExitCode.OK, "")
    assert "no answer from entry-c1" in errors
    assert target.read_text().startswith("<!doctype html>")


def leaf_parsers(parser, words=()):
    groups = [a for a in parser._actions if hasattr(a, "choices") and a.choices]
    nested = [a for a in groups if isinstance(a.choices, dict)]
    if not nested:
        yield words, parser
    for action in nested:
        for name, child in action.choices.items():
            yield from leaf_parsers(child, (*words, name))


def test_every_command_shows_an_example_of_itself():
    leaves = list(leaf_parsers(build_parser()))
    assert len(leaves) >= 18
    for words, parser in leaves:
        assert "foxtailbank " + " ".join(words) in parser.format_help()


def test_exit_codes_are_documented():
    assert set(EXIT_CODE_MEANINGS) == set(ExitCode)
    page = EXAMPLES.parent / "docs" / "operators" / "cli.md"
    text = page.read_text(encoding="utf-8")
    for code, meaning in EXIT_CODE_MEANINGS.items():
        assert f"| {code.value} | {meaning} |" in text
