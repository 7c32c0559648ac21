"""Steps of the demo, with a check of each result."""

import pathlib
import sys
import time
import typing as t

import msgspec

from foxtailbank.vm_list import VmRole
from foxtailbank_bench.demo_catalogue import demo_entries
from foxtailbank_bench.fleet_client import (
    TERMINAL_STATUSES,
    FleetClient,
    JobStatus,
    completion_item,
)
from foxtailbank_bench.launcher import Launcher

ITEM_COUNT = 40
ITEM_TOKENS = 24
CRASHING_ITEM = 17
CRASH_PROMPT = "Notice of the day __crash__"
LONG_JOB_ITEM_COUNT = 400
LONG_JOB_ITEM_TOKENS = 200
JOB_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
MAX_CRASHED_ENGINES = 3
MAX_EDIT_MS = 2_000


class JournalLine(msgspec.Struct, frozen=True):
    """Fields of an endpoint's journal line that the demo reads."""

    request_id: str
    path: str


class DemoFailed(Exception):
    """A check of the demo failed."""


class DemoSteps:
    """Runs the steps of the demo on a running fleet.

    Parameters
    ----------
    launcher : Launcher
        Launcher of the fleet.
    client : FleetClient
        Client of its entry VMs.
    """

    def __init__(self, *, launcher: Launcher, client: FleetClient) -> None:
        self._launcher = launcher
        self._client = client
        self._engine_specs_by_name = {
            spec.name: spec
            for spec in launcher.deployment.endpoints
            if spec.role is VmRole.ENGINE
        }
        launcher.may_fail = tuple(self._engine_specs_by_name)

    def run(self) -> None:
        """Run all steps in order.

        Raises
        ------
        DemoFailed
            A step did not give the expected result.
        """
        self._show_catalogue()
        self._show_streams()
        self._show_services()
        self._show_batch()
        self._show_cancelled_batch()
        self._show_catalogue_edit()

    def _show_catalogue(self) -> None:
        entries = demo_entries()
        for name, entry in entries.items():
            self._client.edit_entry(name, entry)
        names = ", ".join(entries)
        print_line(
            f"catalogue: {names} in force on {len(self._client.addresses)} entry VMs"
        )

    def _show_streams(self) -> None:
        texts = []
        for address in self._client.addresses:
            events = self._client.stream(
                address, prompt="In loving memory", max_tokens=ITEM_TOKENS
            )
            expect(events.endswith(b"data: [DONE]\n\n"), "a stream ended before [DONE]")
            texts.append(events.count(b"data: ") - 1)
        expect(min(texts) >= ITEM_TOKENS, f"streams with too few tokens: {texts}")
        print_line(f"online: {len(texts)} complete streams, one through each entry VM")

    def _show_services(self) -> None:
        first, second, *_ = self._client.addresses
        contract = self._client.lookup(first, "contracts/contracts/17")
        print_line(f"records lookup: contract 17 is {contract['status']}")
        path = "bookings/bookings"
        booking_ids = [
            self._client.create_booking(address, path, key="burial-2041")
            for address in (first, second)
        ]
        expect(
            booking_ids[0] == booking_ids[1], f"two bookings for one key: {booking_ids}"
        )
        received = {
            request_id
            for spec in self._launcher.deployment.endpoints
            if spec.role is VmRole.SERVICE
            for request_id in _booking_request_ids(self._launcher.journal(spec.name))
        }
        expect(len(received) == 1, f"bookings that reached the service: {received}")
        print_line("billed call: sent twice with one key through two VMs; one booking")

    def _show_batch(self) -> None:
        first, *others = self._client.addresses
        prompts = [f"Notice number {number}" for number in range(ITEM_COUNT)]
        prompts[CRASHING_ITEM] = CRASH_PROMPT
        lines = [
            completion_item(f"n-{index}", prompt=prompt, max_tokens=ITEM_TOKENS)
            for index, prompt in enumerate(prompts)
        ]
        job_id = self._client.submit(first, entry="notices", lines=lines)
        status = self._wait_for_job(first, job_id)
        expect(status.status == "finished", f"the batch is {status.status}")
        self._wait_until(lambda: self._client.has_job(others[-1], job_id))
        results = self._client.results(others[-1], job_id)
        ids = [line.custom_id for line in results]
        expect(ids == [f"n-{i}" for i in range(ITEM_COUNT)], f"result lines: {ids}")
        failed = {r.custom_id: r.error.code for r in results if r.error is not None}
        expect(
            list(failed) == [f"n-{CRASHING_ITEM}"],
            f"failed items: {failed}",
        )
        crashed = self._restart_crashed_engines()
        expect(1 <= len(crashed) <= MAX_CRASHED_ENGINES, f"crashed engines: {crashed}")
        print_line(
            f"batch: {status.counts.completed} of {ITEM_COUNT} items done; "
            f"n-{CRASHING_ITEM} crashed {len(crashed)} engines and "
            f"ended as `{failed[f'n-{CRASHING_ITEM}']}`"
        )

    def _show_cancelled_batch(self) -> None:
        first, second, *_ = self._client.addresses
        lines = [
            completion_item(
                f"w-{i}", prompt=f"Withdrawn {i}", max_tokens=LONG_JOB_ITEM_TOKENS
            )
            for i in range(LONG_JOB_ITEM_COUNT)
        ]
        job_id = self._client.submit(first, entry="notices", lines=lines)
        self._wait_until(lambda: self._client.has_job(second, job_id))
        status = self._client.cancel(second, job_id)
        expect(
            status.status == "cancelled", f"status after cancellation: {status.status}"
        )
        self._wait_until(
            lambda: self._client.status(first, job_id).status == "cancelled"
        )
        before = self._client.status(first, job_id).counts.completed
        time.sleep(1)
        after = self._client.status(first, job_id).counts.completed
        expect(before == after, "results were added after the cancellation")
        print_line(
            f"cancelled batch: stopped with {after} of {LONG_JOB_ITEM_COUNT} items done"
        )

    def _show_catalogue_edit(self) -> None:
        entry = demo_entries()["tributes"]
        entry["limits"] = {"max_tokens": 512}
        elapsed_ms = self._client.edit_entry("tributes", entry)
        expect(elapsed_ms <= MAX_EDIT_MS, f"the edit took {elapsed_ms} ms")
        count = len(self._client.addresses)
        print_line(
            f"catalogue edit: in force on all {count} entry VMs after {elapsed_ms} ms"
        )

    def _wait_for_job(self, address: str, job_id: str) -> JobStatus:
        self._wait_until(
            lambda: self._client.status(address, job_id).status in TERMINAL_STATUSES
        )
        return self._client.status(address, job_id)

    def _wait_until(self, condition: t.Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + JOB_TIMEOUT_S
        while not condition():
            self._launcher.check_alive()
            expect(
                time.monotonic() < deadline_s, f"no result within {JOB_TIMEOUT_S:g} s"
            )
            time.sleep(POLL_INTERVAL_S)

    def _restart_crashed_engines(self) -> list[str]:
        """Restart crashed engines, as a supervisor would, and return their names."""
        crashed = [
            name
            for name in self._engine_specs_by_name
            if self._launcher.programs_by_name[name].process.poll() is not None
        ]
        for name in crashed:
            port = int(self._launcher.address(name).rpartition(":")[2])
            self._launcher.start_endpoint(self._engine_specs_by_name[name], port=port)
        return crashed


def _booking_request_ids(journal: pathlib.Path) -> t.Iterator[str]:
    for text in journal.read_text().splitlines():
        line = msgspec.json.decode(text, type=JournalLine)
        if line.path == "/bookings":
            yield line.request_id


def expect(condition: bool, reason: str) -> None:
    """Fail the demo unless a condition holds.

    Raises
    ------
    DemoFailed
        The condition is false; `reason` is the message.
    """
    if not condition:
        raise DemoFailed(reason)


def print_line(line: str) -> None:
    """Print a line and flush it."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
