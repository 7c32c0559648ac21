"""Requests that were running when their worker crashed."""

import dataclasses

import xxhash

MARK_LIFE_MS = 120_000
CRASHES_TO_REFUSE = 3
MAX_FINGERPRINTS = 4_096


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashMark:
    """A request was in flight when a connection to its worker broke.

    Attributes
    ----------
    fingerprint : int
        Digest of the request that is the same at each repetition.
    worker_id : str
        Run of the worker that broke.
    """

    fingerprint: int
    worker_id: str


def fingerprint_of(*, host: str, target: str, body: bytes) -> int:
    """Return the digest by which a request that comes again is known."""
    digest = xxhash.xxh64()
    digest.update(host.encode())
    digest.update(target.encode())
    digest.update(body)
    return digest.intdigest()


class CrashMarks:
    """Marks of all entry VMs; a request with several is not sent any more."""

    def __init__(self) -> None:
        self._seen_ms_by_mark: dict[CrashMark, int] = {}
        self._workers_by_fingerprint: dict[int, set[str]] = {}

    def add(self, mark: CrashMark, now_ms: int) -> bool:
        """Take a mark; true if it is new."""
        is_new = mark not in self._seen_ms_by_mark
        if is_new and len(self._seen_ms_by_mark) >= MAX_FINGERPRINTS:
            self._expire(now_ms)
        self._seen_ms_by_mark[mark] = now_ms
        workers = self._workers_by_fingerprint.setdefault(mark.fingerprint, set())
        workers.add(mark.worker_id)
        return is_new

    def clear(self, fingerprint: int) -> None:
        """Forget a request that has completed on a worker."""
        for worker_id in self._workers_by_fingerprint.pop(fingerprint, ()):
            mark = CrashMark(fingerprint=fingerprint, worker_id=worker_id)
            self._seen_ms_by_mark.pop(mark, None)

    def refused(self, fingerprint: int) -> bool:
        """Return whether the request has crashed too many workers."""
        workers = self._workers_by_fingerprint.get(fingerprint, ())
        return len(workers) >= CRASHES_TO_REFUSE

    def _expire(self, now_ms: int) -> None:
        for mark, seen_ms in tuple(self._seen_ms_by_mark.items()):
            if now_ms - seen_ms > MARK_LIFE_MS:
                del self._seen_ms_by_mark[mark]
                self._workers_by_fingerprint.pop(mark.fingerprint, None)
