"""Which workers may go on with a stream."""

import dataclasses

import xxhash

from foxtailbank.fleet.worker import Worker

UNKNOWN_PROCESS = "?"  # no process has this id, as ids of processes hold a slash


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """Software that wrote the events of a stream so far.

    What two software versions write does not fit together, and workers do not check.

    Attributes
    ----------
    service : str
        Service of the worker.
    software_version : str
        Version of its software; empty if unknown.
    process_id : str
        The worker's process if its version is unknown, otherwise empty.
    """

    service: str
    software_version: str = ""
    process_id: str = ""

    @classmethod
    def unknown(cls, service: str) -> "StreamOrigin":
        """Return the origin of a stream that may go on nowhere."""
        return cls(service=service, process_id=UNKNOWN_PROCESS)

    @classmethod
    def of(cls, worker: Worker) -> "StreamOrigin":
        """Return the origin of a stream that a worker begins."""
        if worker.software_version:
            return cls(service=worker.service, software_version=worker.software_version)
        return cls(service=worker.service, process_id=worker.process_id)

    def may_continue_at(self, worker: Worker) -> bool:
        """Return whether a worker runs the software that began the stream."""
        return StreamOrigin.of(worker) == self


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamReport:
    """Origin of one stream, as VMs tell each other.

    Attributes
    ----------
    key : int
        The stream, by `stream_key`.
    origin : StreamOrigin
        Software that began it.
    """

    key: int
    origin: StreamOrigin


def stream_key(*, host: str, request_id: str) -> int:
    """Return the digest that identifies a stream.

    Parameters
    ----------
    host : str
        Host that the client requested.
    request_id : str
        Id of the client attempt that brought the stream's first event.
    """
    return xxhash.xxh64_intdigest(f"{host}\n{request_id}")
