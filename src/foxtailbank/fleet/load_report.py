"""Datagram in which an entry VM tells its peers what it has in flight."""

import dataclasses
import importlib.resources
import typing as t

import capnp

from foxtailbank.exceptions import FrameInvalid
from foxtailbank.fleet.crash_marks import CrashMark
from foxtailbank.fleet.load_table import WorkerLoad

MAX_DATAGRAM_BYTES = 1_400
MAX_MARKS = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """State of one VM.

    Attributes
    ----------
    vm_id : str
        The VM.
    zone : str
        Its availability zone.
    incarnation : int
        Its process.
    sequence : int
        Rises with each report of that process.
    stopping : bool
        Whether it is about to end and has given up its batch items.
    load_by_worker : dict of str to WorkerLoad
        Requests in flight, without idle workers.
    marks : tuple of CrashMark
        Requests in flight when their worker broke, the newest ones.
    """

    vm_id: str
    zone: str
    incarnation: int
    sequence: int
    stopping: bool
    load_by_worker: dict[str, WorkerLoad]
    marks: tuple[CrashMark, ...]


def _load_schema() -> t.Any:
    capnp.remove_import_hook()
    resource = importlib.resources.files("foxtailbank.fleet") / "load_report.capnp"
    with importlib.resources.as_file(resource) as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


def encode(report: LoadReport) -> bytes:
    """Return the datagram of a report."""
    builder = _SCHEMA.LoadReport.new_message(
        vmId=report.vm_id,
        zone=report.zone,
        incarnation=report.incarnation,
        sequence=report.sequence,
        stopping=report.stopping,
    )
    loads = builder.init("loads", len(report.load_by_worker))
    for row, (worker_id, load) in zip(
        loads, report.load_by_worker.items(), strict=True
    ):
        row.worker = worker_id
        row.online = load.online
        row.batch = load.batch
    marks = builder.init("marks", min(len(report.marks), MAX_MARKS))
    for row, mark in zip(marks, report.marks[-MAX_MARKS:], strict=True):
        row.fingerprint = mark.fingerprint
        row.worker = mark.worker_id
    return t.cast(bytes, builder.to_bytes_packed())


def decode(datagram: bytes) -> LoadReport:
    """Read a datagram.

    Raises
    ------
    FrameInvalid
        The bytes are no report.
    """
    try:
        reader = _SCHEMA.LoadReport.from_bytes_packed(datagram)
        return LoadReport(
            vm_id=reader.vmId,
            zone=reader.zone,
            incarnation=reader.incarnation,
            sequence=reader.sequence,
            stopping=reader.stopping,
            load_by_worker={
                row.worker: WorkerLoad(online=row.online, batch=row.batch)
                for row in reader.loads
            },
            marks=tuple(
                CrashMark(fingerprint=row.fingerprint, worker_id=row.worker)
                for row in reader.marks
            ),
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise FrameInvalid(detail="not a load report") from error
