"""What an entry VM reports of online requests whose worker crashed."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """An online request was in flight when a connection to its worker broke.

    Attributes
    ----------
    fingerprint : int
        Digest of the request, the same for each attempt.
    worker_id : str
        Worker process whose connection broke.
    crashed_wall_ms : int
        When it broke, in milliseconds of wall clock.
    answered : bool
        Whether the worker had begun to answer.
    prompt_parts : tuple of int
        Digests of the shared parts of the request's prompt; empty if the answer was
        past the point at which a part crashes its worker.
    """

    fingerprint: int
    worker_id: str
    crashed_wall_ms: int
    answered: bool = False
    prompt_parts: tuple[int, ...] = ()

    @property
    def key(self) -> tuple[int, str]:
        """The request and the worker; a second report of both adds nothing."""
        return (self.fingerprint, self.worker_id)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartCompletion:
    """A request with a suspected prompt part has been answered whole.

    Attributes
    ----------
    part : int
        Digest of the part.
    completed_wall_ms : int
        When the answer was complete, in milliseconds of wall clock.
    """

    part: int
    completed_wall_ms: int


def request_fingerprint(*, host: str, target: str, body: bytes) -> int:
    """Return a digest that identifies repeated attempts of one request."""
    digest = xxhash.xxh64()
    digest.update(host.encode())
    digest.update(target.encode())
    digest.update(body)
    return digest.intdigest()
