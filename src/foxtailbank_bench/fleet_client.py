"""HTTP client of a fleet that a launcher started."""

import json
import time
import typing as t

import httpx
import msgspec

from foxtailbank.clock import MS_PER_S
from foxtailbank_bench.demo_catalogue import CALLER_KEY, put_entry
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher

TIMEOUT_S = 30.0
TERMINAL_STATUSES = ("finished", "cancelled")
POLL_INTERVAL_S = 0.005


class JobCounts(msgspec.Struct, frozen=True):
    """Number of items of a job by status."""

    total: int
    completed: int
    failed: int
    pending: int


class JobStatus(msgspec.Struct, frozen=True):
    """Status of a job, as the batch API returns it."""

    id: str
    status: str
    counts: JobCounts


class ResultError(msgspec.Struct, frozen=True):
    """Why an item failed."""

    code: str
    ran: str


class ResultLine(msgspec.Struct, frozen=True):
    """One line of a job's results."""

    custom_id: str
    error: ResultError | None = None


class FleetClient:
    """Calls the entry VMs of a fleet with the caller's and the admin key.

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
        """Return the server-sent events of a streamed completion."""
        body = {
            "model": "wordsmith",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        response = self._http.post(f"http://{address}/v1/completions", json=body)
        response.raise_for_status()
        return response.content

    def lookup(self, address: str, path: str) -> t.Any:
        """Return the JSON response of a service."""
        response = self._http.get(f"http://{address}/v1/services/{path}")
        response.raise_for_status()
        return response.json()

    def create_booking(self, address: str, path: str, *, key: str) -> str:
        """Create a booking, which is a billed call, and return its id."""
        response = self._http.post(
            f"http://{address}/v1/services/{path}",
            headers={"idempotency-key": key},
            json={"notice": "burial date"},
        )
        response.raise_for_status()
        return str(response.json()["booking_id"])

    def submit(self, address: str, *, entry: str, lines: list[bytes]) -> str:
        """Submit a batch job and return its id."""
        url = f"http://{address}/v1/batches?entry={entry}"
        response = self._http.post(url, content=b"\n".join(lines))
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=JobStatus).id

    def cancel(self, address: str, job_id: str) -> JobStatus:
        """Cancel a job and return its status."""
        url = f"http://{address}/v1/batches/{job_id}/cancel"
        return self._decode_status(self._http.post(url))

    def status(self, address: str, job_id: str) -> JobStatus:
        """Return the status of a job."""
        return self._decode_status(
            self._http.get(f"http://{address}/v1/batches/{job_id}")
        )

    def results(self, address: str, job_id: str) -> list[ResultLine]:
        """Return the result lines of a job."""
        url = f"http://{address}/v1/batches/{job_id}/results"
        response = self._http.get(url)
        response.raise_for_status()
        lines = response.content.split(b"\n")
        return [msgspec.json.decode(line, type=ResultLine) for line in lines if line]

    def has_job(self, address: str, job_id: str) -> bool:
        """Return whether an entry VM knows a job."""
        response = self._http.get(f"http://{address}/v1/batches/{job_id}")
        return response.status_code == httpx.codes.OK

    def edit_entry(self, name: str, entry: dict[str, t.Any]) -> int:
        """Put a catalogue entry; return the time in ms until all entry VMs apply it."""
        start_s = time.monotonic()
        version = put_entry(self.addresses[0], name, entry, admin_key=ADMIN_KEY)
        self.wait_for_version(name, version)
        return round((time.monotonic() - start_s) * MS_PER_S)

    def wait_for_version(self, name: str, version: int) -> None:
        """Wait until every entry VM applies a version of an entry."""
        for address in self.addresses:
            url = f"http://{address}/admin/catalogue/{name}"
            while self._applied_version(url) < version:
                self._launcher.check_alive()
                time.sleep(POLL_INTERVAL_S)

    def _applied_version(self, url: str) -> int:
        response = self._http.get(url, headers=self._admin_headers)
        exists = response.status_code == httpx.codes.OK
        return int(response.json()["version"]) if exists else 0

    @staticmethod
    def _decode_status(response: httpx.Response) -> JobStatus:
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=JobStatus)


def completion_item(
    custom_id: str, *, prompt: str, max_tokens: int, model: str = "wordsmith"
) -> bytes:
    """Return an input line of a batch job."""
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
    item = {"custom_id": custom_id, "url": "/v1/completions", "body": body}
    return json.dumps(item).encode()
