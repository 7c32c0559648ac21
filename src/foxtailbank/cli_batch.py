"""Commands ``batch``: submit, status, wait, cancel, results."""

import argparse
import codecs
import os
import pathlib

import msgspec

from foxtailbank.batch_upload import PROGRESS_INTERVAL_BYTES, open_upload
from foxtailbank.cli_client import Client
from foxtailbank.cli_context import Context
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.cli_group import Commands, add_command, add_group
from foxtailbank.clock import MS_PER_S
from foxtailbank.exit_code import ExitCode
from foxtailbank.urls import query_string, quote_segment
from foxtailbank.utc_text import format_utc

DEFAULT_POLL_MS = 1000
RUNNING = "running"
CANCELLED = "cancelled"


class BatchStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a batch job.

    Attributes
    ----------
    id : str
        Job id.
    status : str
        ``running``, ``finished`` or ``cancelled``.
    counts : dict of str to int
        Number of items by outcome, and ``total``.
    deadline_ms : int or None
        Wall time of the deadline, in milliseconds since the Unix epoch.
    expected_finish_ms : int or None
        Estimated wall time of completion, in milliseconds since the Unix epoch.
    """

    id: str
    status: str
    counts: dict[str, int] = {}
    deadline_ms: int | None = None
    expected_finish_ms: int | None = None


def add_batch(commands: Commands) -> None:
    """Add the ``batch`` commands."""
    group = add_group(commands, "batch", help_text="submit and follow batch jobs")
    parser = add_command(
        group,
        "submit",
        _submit,
        help_text="submit a job of JSON lines and print its id",
        examples=[
            "foxtailbank batch submit notices.jsonl --entry notices --deadline-s 3600",
            "foxtailbank batch submit notices.jsonl --entry notices --wait",
        ],
        prints_table=True,
    )
    parser.add_argument("file", help="JSON lines, one item each; - for stdin")
    parser.add_argument("--entry", required=True, help="batch entry of the catalogue")
    parser.add_argument(
        "--deadline-s",
        type=float,
        metavar="S",
        help="deadline in seconds from now (default: the entry's limit)",
    )
    parser.add_argument(
        "--idempotency-key",
        metavar="KEY",
        help="repeating a submit with the same key and content returns the same job "
        "(default: derived from entry and content)",
    )
    parser.add_argument(
        "--wait", action="store_true", help="wait until the job ends, like `batch wait`"
    )
    _add_wait_options(parser)
    parser = add_command(
        group,
        "status",
        _status,
        help_text="print the status of a job",
        examples=["foxtailbank batch status job-7f3a"],
        prints_table=True,
    )
    _add_job_argument(parser)
    parser = add_command(
        group,
        "wait",
        _wait,
        help_text="wait until a job ends",
        examples=["foxtailbank batch wait job-7f3a --timeout-s 600"],
        prints_table=True,
    )
    _add_job_argument(parser)
    _add_wait_options(parser)
    parser = add_command(
        group,
        "cancel",
        _cancel,
        help_text="cancel a job; results that arrive later are ignored",
        examples=["foxtailbank batch cancel job-7f3a"],
        prints_table=True,
    )
    _add_job_argument(parser)
    parser = add_command(
        group,
        "results",
        _results,
        help_text="write a job's results as JSON lines, one for each item",
        examples=["foxtailbank batch results job-7f3a --output results.jsonl"],
    )
    _add_job_argument(parser)
    parser.add_argument(
        "--output", metavar="FILE", help="output file (default: standard output)"
    )


def _add_job_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("job", metavar="JOB", help="id of the job")


def _add_wait_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--timeout-s",
        type=float,
        metavar="S",
        help="stop waiting after this time; the job continues",
    )
    parser.add_argument(
        "--poll-ms", type=int, default=DEFAULT_POLL_MS, metavar="MS", help="poll period"
    )


def _submit(options: argparse.Namespace, context: Context) -> ExitCode:
    client = context.create_client(options)
    with open_upload(options.file, stdin=context.stdin) as upload:
        key = options.idempotency_key or upload.idempotency_key(options.entry)
        context.write_progress(f"sending {upload.size_bytes} bytes to {options.entry}")
        headers = {
            "idempotency-key": key,
            "content-type": "application/jsonl",
            "content-length": str(upload.size_bytes),
        }
        parameters = query_string(
            entry=options.entry, deadline_ms=_deadline_ms(options.deadline_s)
        )
        status = client.call_api(
            "POST",
            f"/v1/batches{parameters}",
            reply=BatchStatus,
            content=upload.chunks(
                lambda sent: _report_sent(context, sent, upload.size_bytes)
            ),
            headers=headers,
        )
    context.write_progress(f"accepted as {status.id}")
    if options.wait:
        status = _poll_until_ended(status.id, client, options, context)
        return _write_outcome(status, options, context)
    if options.json:
        context.write_json(status)
    else:
        context.write(status.id)
    return ExitCode.OK


def _deadline_ms(deadline_s: float | None) -> int | None:
    return None if deadline_s is None else round(deadline_s * MS_PER_S)


def _report_sent(context: Context, sent_bytes: int, size_bytes: int) -> None:
    fraction = sent_bytes / size_bytes if size_bytes else 1.0
    context.write_progress(f"sent {sent_bytes} of {size_bytes} bytes ({fraction:.0%})")


def _status(options: argparse.Namespace, context: Context) -> ExitCode:
    status = _fetch_status(options.job, context.create_client(options))
    _write_status(status, options, context)
    return ExitCode.OK


def _wait(options: argparse.Namespace, context: Context) -> ExitCode:
    status = _poll_until_ended(
        options.job, context.create_client(options), options, context
    )
    return _write_outcome(status, options, context)


def _cancel(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/v1/batches/{quote_segment(options.job)}/cancel"
    status = context.create_client(options).call_api("POST", path, reply=BatchStatus)
    _write_status(status, options, context)
    return ExitCode.OK


def _results(options: argparse.Namespace, context: Context) -> ExitCode:
    path = f"/v1/batches/{quote_segment(options.job)}/results"
    client = context.create_client(options)
    if options.output is None:
        with client.stream(path) as chunks:
            decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")
            for chunk in chunks:
                context.stdout.write(decoder.decode(chunk))
        return ExitCode.OK
    target = pathlib.Path(options.output)
    partial = target.with_name(target.name + ".partial")
    written = reported = 0
    try:
        with client.stream(path) as chunks, partial.open("wb") as file:
            for chunk in chunks:
                written += file.write(chunk)
                if written - reported >= PROGRESS_INTERVAL_BYTES:
                    reported = written
                    context.write_progress(f"received {written} bytes")
        os.replace(partial, target)
    except OSError as error:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"{target} cannot be written: {error.strerror}",
        ) from None
    finally:
        partial.unlink(missing_ok=True)
    context.write_progress(f"wrote {written} bytes to {target}")
    return ExitCode.OK


def _fetch_status(job: str, client: Client) -> BatchStatus:
    path = f"/v1/batches/{quote_segment(job)}"
    return client.call_api("GET", path, reply=BatchStatus)


def _poll_until_ended(
    job: str, client: Client, options: argparse.Namespace, context: Context
) -> BatchStatus:
    """Poll until the job ends, retrying while the entry VM is unavailable."""
    started_s = context.monotonic()
    last_line = ""
    while True:
        line = "no answer; trying again"
        try:
            status = _fetch_status(job, client)
        except CommandFailed as failure:
            if failure.exit_code is not ExitCode.UNAVAILABLE:
                raise
        else:
            if status.status != RUNNING:
                return status
            line = _progress_line(status)
        if line != last_line:
            context.write_progress(f"{job}: {line}")
            last_line = line
        elapsed_s = context.monotonic() - started_s
        if options.timeout_s is not None and elapsed_s >= options.timeout_s:
            raise CommandFailed(
                exit_code=ExitCode.TIMED_OUT,
                detail=f"{job} had not ended after {options.timeout_s:g} s",
            )
        context.sleep(options.poll_ms / MS_PER_S)


def _progress_line(status: BatchStatus) -> str:
    counts = ", ".join(f"{name} {count}" for name, count in status.counts.items())
    expected_finish = _format_time(status.expected_finish_ms)
    return f"{status.status}: {counts}; expected finish {expected_finish}"


def _format_time(at_ms: int | None) -> str:
    return "not known" if at_ms is None else format_utc(at_ms)


def _write_status(
    status: BatchStatus, options: argparse.Namespace, context: Context
) -> None:
    if options.json:
        context.write_json(status)
        return
    row = {
        "job": status.id,
        "status": status.status,
        **status.counts,
        "deadline": _format_time(status.deadline_ms),
        "expected finish": _format_time(status.expected_finish_ms),
    }
    context.write_rows([row], empty="")


def _write_outcome(
    status: BatchStatus, options: argparse.Namespace, context: Context
) -> ExitCode:
    _write_status(status, options, context)
    if status.status == CANCELLED:
        return ExitCode.CONFLICT
    if status.counts.get("failed", 0):
        context.write_progress(f"{status.id}: some items failed; see `batch results`")
        return ExitCode.ITEMS_FAILED
    return ExitCode.OK
