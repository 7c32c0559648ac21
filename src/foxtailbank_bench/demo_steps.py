"""What the demo shows, one expectation after the other."""

import pathlib
import sys
import time
import typing as t

import msgspec

from foxtailbank.vm_list import VmRole
from foxtailbank_bench.demo_catalogue import demo_entries
from foxtailbank_bench.fleet_client import (
    ENDED,
    FleetClient,
    JobStatus,
    completion_item,
)
from foxtailbank_bench.launcher import Launcher

ITEMS = 40
ITEM_TOKENS = 24
CRASHING_ITEM = 17
CRASH_PROMPT = "Notice of the day __crash__"
LONG_ITEMS = 400
LONG_TOKENS = 200
JOB_TIMEOUT_S = 20.0
POLL_S = 0.1
MAX_DEATHS = 3
EDIT_BOUND_MS = 2_000


class JournalLine(msgspec.Struct, frozen=True):
    """What the demo reads of a line in an endpoint's journal."""

    request_id: str
    path: str


class DemoFailed(Exception):
    """The fleet did not do what the demo shows."""


class DemoSteps:
    """Steps of the demo on a running fleet.

    Parameters
    ----------
    launcher : Launcher
        The fleet.
    client : FleetClient
        Calls it.
    """

    def __init__(self, *, launcher: Launcher, client: FleetClient) -> None:
        self._launcher = launcher
        self._client = client
        self._engines = {
            spec.name: spec
            for spec in launcher.deployment.endpoints
            if spec.role is VmRole.ENGINE
        }
        launcher.tolerated = tuple(self._engines)

    def run(self) -> None:
        """Show everything.

        Raises
        ------
        DemoFailed
            Something was not as expected.
        """
        self._catalogue()
        self._streams()
        self._services()
        self._batch()
        self._cancelled_batch()
        self._edit()

    def _catalogue(self) -> None:
        entries = demo_entries()
        for name, entry in entries.items():
            self._client.edit(name, entry)
        names = ", ".join(entries)
        say(f"catalogue: {names} in force on {len(self._client.addresses)} entry VMs")

    def _streams(self) -> None:
        texts = []
        for address in self._client.addresses:
            events = self._client.stream(
                address, prompt="In loving memory", max_tokens=ITEM_TOKENS
            )
            expect(events.endswith(b"data: [DONE]\n\n"), "a stream ended early")
            texts.append(events.count(b"data: ") - 1)
        expect(min(texts) >= ITEM_TOKENS, f"streams with too few tokens: {texts}")
        say(f"online: {len(texts)} streams through all entry VMs, each whole")

    def _services(self) -> None:
        first, second, *_ = self._client.addresses
        contract = self._client.lookup(first, "contracts/contracts/17")
        say(f"records lookup: contract 17 is {contract['status']}")
        path = "bookings/bookings"
        booked = [
            self._client.book(address, path, key="burial-2041")
            for address in (first, second)
        ]
        expect(booked[0] == booked[1], f"two bookings for one key: {booked}")
        ran = {
            request_id
            for spec in self._launcher.deployment.endpoints
            if spec.role is VmRole.SERVICE
            for request_id in _bookings(self._launcher.journal(spec.name))
        }
        expect(len(ran) == 1, f"bookings that reached the service: {ran}")
        say("billed call: sent twice with one key, through two VMs; the same booking")

    def _batch(self) -> None:
        first, *others = self._client.addresses
        prompts = [f"Notice number {number}" for number in range(ITEMS)]
        prompts[CRASHING_ITEM] = CRASH_PROMPT
        lines = [
            completion_item(f"n-{index}", prompt=prompt, max_tokens=ITEM_TOKENS)
            for index, prompt in enumerate(prompts)
        ]
        job_id = self._client.submit(first, entry="notices", lines=lines)
        status = self._wait_job(first, job_id)
        expect(status.status == "finished", f"the batch is {status.status}")
        self._wait(lambda: self._client.has_job(others[-1], job_id))
        results = self._client.results(others[-1], job_id)
        ids = [line.custom_id for line in results]
        expect(ids == [f"n-{i}" for i in range(ITEMS)], f"result lines: {ids}")
        failed = {r.custom_id: r.error.code for r in results if r.error is not None}
        expect(
            list(failed) == [f"n-{CRASHING_ITEM}"],
            f"failed items: {failed}",
        )
        crashed = self._start_crashed()
        expect(1 <= len(crashed) <= MAX_DEATHS, f"crashed engines: {crashed}")
        say(
            f"batch: {status.counts.completed} of {ITEMS} items done; "
            f"n-{CRASHING_ITEM} crashed {len(crashed)} engines and "
            f"ended as `{failed[f'n-{CRASHING_ITEM}']}`"
        )

    def _cancelled_batch(self) -> None:
        first, second, *_ = self._client.addresses
        lines = [
            completion_item(f"w-{i}", prompt=f"Withdrawn {i}", max_tokens=LONG_TOKENS)
            for i in range(LONG_ITEMS)
        ]
        job_id = self._client.submit(first, entry="notices", lines=lines)
        self._wait(lambda: self._client.has_job(second, job_id))
        status = self._client.cancel(second, job_id)
        expect(status.status == "cancelled", f"cancelled, but {status.status}")
        self._wait(lambda: self._client.status(first, job_id).status == "cancelled")
        before = self._client.status(first, job_id).counts.completed
        time.sleep(1)
        after = self._client.status(first, job_id).counts.completed
        expect(before == after, "results were added after the cancellation")
        say(f"cancelled batch: stopped with {after} of {LONG_ITEMS} items done")

    def _edit(self) -> None:
        entry = demo_entries()["tributes"]
        entry["limits"] = {"max_tokens": 512}
        took_ms = self._client.edit("tributes", entry)
        expect(took_ms <= EDIT_BOUND_MS, f"an edit took {took_ms} ms")
        count = len(self._client.addresses)
        say(f"catalogue edit: in force on all {count} entry VMs after {took_ms} ms")

    def _wait_job(self, address: str, job_id: str) -> JobStatus:
        self._wait(lambda: self._client.status(address, job_id).status in ENDED)
        return self._client.status(address, job_id)

    def _wait(self, condition: t.Callable[[], bool]) -> None:
        ends_s = time.monotonic() + JOB_TIMEOUT_S
        while not condition():
            self._launcher.check_alive()
            expect(time.monotonic() < ends_s, f"waited {JOB_TIMEOUT_S:g} s in vain")
            time.sleep(POLL_S)

    def _start_crashed(self) -> list[str]:
        """Start crashed engines again, as a supervisor would; return their names."""
        crashed = [
            name
            for name in self._engines
            if self._launcher.programs_by_name[name].process.poll() is not None
        ]
        for name in crashed:
            port = int(self._launcher.address(name).rpartition(":")[2])
            self._launcher.start_endpoint(self._engines[name], port=port)
        return crashed


def _bookings(journal: pathlib.Path) -> t.Iterator[str]:
    for text in journal.read_text().splitlines():
        line = msgspec.json.decode(text, type=JournalLine)
        if line.path == "/bookings":
            yield line.request_id


def expect(holds: bool, reason: str) -> None:
    """End the demo unless something holds.

    Raises
    ------
    DemoFailed
        It does not.
    """
    if not holds:
        raise DemoFailed(reason)


def say(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
