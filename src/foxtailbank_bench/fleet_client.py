"""Callers and operators of a fleet that a launcher started."""

import json
import time
import typing as t

import httpx
import msgspec

from foxtailbank.clock import MS_PER_S
from foxtailbank_bench.demo_catalogue import CALLER_KEY, put_entry
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher

TIMEOUT_S = 30.0
ENDED = ("finished", "cancelled")
POLL_S = 0.005


class JobCounts(msgspec.Struct, frozen=True):
    """Items of a job by how they stand."""

    total: int
    completed: int
    failed: int
    pending: int


class JobStatus(msgspec.Struct, frozen=True):
    """Where a job stands."""

    id: str
    status: str
    counts: JobCounts


class ResultError(msgspec.Struct, frozen=True):
    """Why an item has no answer."""

    code: str
    ran: str


class ResultLine(msgspec.Struct, frozen=True):
    """One line of a job's results."""

    custom_id: str
    error: ResultError | None = None


class FleetClient:
    """Calls the entry VMs of a fleet as callers and operators do.

    Parameters
    ----------
    launcher : Launcher
        The running fleet.
    """

    def __init__(self, *, launcher: Launcher) -> None:
        self.addresses = tuple(
            spec.http_address for spec in launcher.deployment.entries
        )
        self._launcher = launcher
        self._http = httpx.Client(
            trust_env=False,
            timeout=TIMEOUT_S,
            headers={"authorization": f"Bearer {CALLER_KEY}"},
        )
        self._admin_headers = {"authorization": f"Bearer {ADMIN_KEY}"}

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def stream(self, address: str, *, prompt: str, max_tokens: int) -> bytes:
        """Return the events of a streamed completion."""
        body = {
            "model": "wordsmith",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        answer = self._http.post(f"http://{address}/v1/completions", json=body)
        answer.raise_for_status()
        return answer.content

    def lookup(self, address: str, path: str) -> t.Any:
        """Return the JSON answer of a plain service."""
        answer = self._http.get(f"http://{address}/v1/services/{path}")
        answer.raise_for_status()
        return answer.json()

    def book(self, address: str, path: str, *, key: str) -> str:
        """Make a billed call and return the booking's id."""
        answer = self._http.post(
            f"http://{address}/v1/services/{path}",
            headers={"idempotency-key": key},
            json={"notice": "burial date"},
        )
        answer.raise_for_status()
        return str(answer.json()["booking_id"])

    def submit(self, address: str, *, entry: str, lines: list[bytes]) -> str:
        """Submit a batch job and return its id."""
        url = f"http://{address}/v1/batches?entry={entry}"
        answer = self._http.post(url, content=b"\n".join(lines))
        answer.raise_for_status()
        return msgspec.json.decode(answer.content, type=JobStatus).id

    def cancel(self, address: str, job_id: str) -> JobStatus:
        """Cancel a job."""
        url = f"http://{address}/v1/batches/{job_id}/cancel"
        return self._status(self._http.post(url))

    def status(self, address: str, job_id: str) -> JobStatus:
        """Return where a job stands."""
        return self._status(self._http.get(f"http://{address}/v1/batches/{job_id}"))

    def results(self, address: str, job_id: str) -> list[ResultLine]:
        """Return the result lines of a job."""
        url = f"http://{address}/v1/batches/{job_id}/results"
        answer = self._http.get(url)
        answer.raise_for_status()
        lines = answer.content.split(b"\n")
        return [msgspec.json.decode(line, type=ResultLine) for line in lines if line]

    def has_job(self, address: str, job_id: str) -> bool:
        """Return whether an entry VM knows a job."""
        answer = self._http.get(f"http://{address}/v1/batches/{job_id}")
        return answer.status_code == httpx.codes.OK

    def edit(self, name: str, entry: dict[str, t.Any]) -> int:
        """Put a catalogue entry; return the ms until all entry VMs apply it."""
        started_s = time.monotonic()
        version = put_entry(self.addresses[0], name, entry, admin_key=ADMIN_KEY)
        self.wait_version(name, version)
        return round((time.monotonic() - started_s) * MS_PER_S)

    def wait_version(self, name: str, version: int) -> None:
        """Wait until every entry VM applies a version of an entry."""
        for address in self.addresses:
            url = f"http://{address}/admin/catalogue/{name}"
            while self._version(url) < version:
                self._launcher.check_alive()
                time.sleep(POLL_S)

    def _version(self, url: str) -> int:
        answer = self._http.get(url, headers=self._admin_headers)
        found = answer.status_code == httpx.codes.OK
        return int(answer.json()["version"]) if found else 0

    @staticmethod
    def _status(answer: httpx.Response) -> JobStatus:
        answer.raise_for_status()
        return msgspec.json.decode(answer.content, type=JobStatus)


def completion_item(
    custom_id: str, *, prompt: str, max_tokens: int, model: str = "wordsmith"
) -> bytes:
    """Return an input line of a batch job."""
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
    item = {"custom_id": custom_id, "url": "/v1/completions", "body": body}
    return json.dumps(item).encode()
