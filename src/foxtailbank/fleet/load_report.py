"""Datagram with which an entry VM reports its requests in flight to its peers."""

import collections
import dataclasses
import importlib.resources
import math
import typing as t

import capnp

from foxtailbank.customers.share_counts import MAX_REPORTED, CustomerLoad
from foxtailbank.decoding import decoding, require
from foxtailbank.exceptions import FrameInvalid
from foxtailbank.fleet.configuration_reading import MAX_AGE_MS, ConfigurationReading
from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.draining_workers import DrainingReport
from foxtailbank.fleet.load_table import WorkerLoad
from foxtailbank.fleet.packed_message import check_packed
from foxtailbank.fleet.stream_origin import StreamOrigin, StreamReport
from foxtailbank.fleet.worker_limits import LimitReport
from foxtailbank.fleet.worker_speed import UNKNOWN_CODE

MAX_DATAGRAM_BYTES = 1_400
MAX_CRASH_REPORTS = 10  # with what else there is, a datagram stays in one piece
MAX_COMPLETIONS = 8
MAX_STREAMS = 8
MAX_NAME_CHARS = 255  # as of a key in the platform's store
# Bounds what a list of a made-up length costs. A sound report is read about once.
READS_PER_WORD = 8
MIN_READ_WORDS = 1_024
_NO_LIMIT = -1.0

_Value = t.TypeVar("_Value")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load and crash reports of one VM.

    Attributes
    ----------
    vm_id : str
        The VM.
    zone : str
        Its availability zone.
    incarnation : int
        Identifies its process; a later process usually has a higher one.
    sequence : int
        Increases with each report of that process.
    stopping : bool
        Whether it is shutting down and has released its batch items.
    restoring : bool
        Whether it has yet to restore the submissions, so that it cannot take any over.
    load_by_worker : dict of str to WorkerLoad
        Requests in flight, without idle workers.
    speed_code_by_worker : dict of str to int
        Speed of the workers in `load_by_worker` by what this VM saw, as given by
        `WorkerSpeeds.code`; without those that it does not know.
    crash_reports : tuple of CrashReport
        Recent crash reports, oldest first; only the last `MAX_CRASH_REPORTS`
        are encoded.
    completions : tuple of PartCompletion
        Recently cleared prompt parts, oldest first; only the last `MAX_COMPLETIONS`
        are encoded.
    limits : tuple of LimitReport
        Limits that workers named, and requests sent to these workers.
    streams : tuple of StreamReport
        Which software began streams, oldest first; only the last `MAX_STREAMS` are
        encoded.
    questions : tuple of int
        Streams of which the VM asks which software began them.
    lost_services : tuple of str
        Services of which the VM reaches no worker.
    draining : tuple of DrainingReport
        Workers that said that they are shutting down.
    customers : tuple of CustomerLoad
        Requests in flight by customer, the largest first; only as many as fit into
        `MAX_DATAGRAM_BYTES` are encoded.
    reads_texts : bool
        Whether it knows results whose output is in the log of texts.
    configuration : ConfigurationReading or None
        Version of the configuration that it has read of late.
    """

    vm_id: str
    zone: str
    incarnation: int
    sequence: int
    stopping: bool
    restoring: bool
    load_by_worker: dict[str, WorkerLoad]
    crash_reports: tuple[CrashReport, ...]
    completions: tuple[PartCompletion, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    streams: tuple[StreamReport, ...] = ()
    questions: tuple[int, ...] = ()
    lost_services: tuple[str, ...] = ()
    draining: tuple[DrainingReport, ...] = ()
    customers: tuple[CustomerLoad, ...] = ()
    speed_code_by_worker: dict[str, int] = dataclasses.field(default_factory=dict)
    reads_texts: bool = False
    configuration: ConfigurationReading | None = None


def _load_schema() -> t.Any:
    capnp.remove_import_hook()
    resource = importlib.resources.files("foxtailbank.fleet") / "load_report.capnp"
    with importlib.resources.as_file(resource) as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


def encode(report: LoadReport) -> bytes:
    """Encode a report as a datagram."""
    datagram = _encode_whole(report)
    while len(datagram) > MAX_DATAGRAM_BYTES and report.customers:
        fewer = report.customers[: len(report.customers) // 2]
        report = dataclasses.replace(report, customers=fewer)
        datagram = _encode_whole(report)
    return datagram


def _encode_whole(report: LoadReport) -> bytes:
    builder = _SCHEMA.LoadReport.new_message(
        vmId=report.vm_id,
        zone=report.zone,
        incarnation=report.incarnation,
        sequence=report.sequence,
        stopping=report.stopping,
        restoring=report.restoring,
        readsTexts=report.reads_texts,
    )
    reading = report.configuration
    if reading is not None and reading.age_ms <= MAX_AGE_MS:
        builder.configuration = reading.mark
        builder.configurationAgeMs = reading.age_ms
    loads = tuple(report.load_by_worker.items())
    for row, (worker_id, load) in _new_rows(builder, "loads", loads):
        row.worker = worker_id
        row.online = load.online
        row.batch = load.batch
        row.speed = report.speed_code_by_worker.get(worker_id, UNKNOWN_CODE)
    crashes = report.crash_reports[-MAX_CRASH_REPORTS:]
    for row, crash in _new_rows(builder, "marks", crashes):
        row.fingerprint = crash.fingerprint
        row.worker = crash.worker_id
        row.crashedWallMs = crash.crashed_wall_ms
        row.answered = crash.answered
        row.parts = list(crash.prompt_parts)
    completions = report.completions[-MAX_COMPLETIONS:]
    for row, completion in _new_rows(builder, "completions", completions):
        row.part = completion.part
        row.wallMs = completion.completed_wall_ms
    for row, limit in _new_rows(builder, "limits", report.limits):
        row.worker = limit.worker_id
        row.perS = _NO_LIMIT if limit.per_s is None else limit.per_s
        row.ageMs = limit.age_ms
        row.sentCount = limit.sent_count
    _encode_streams(builder, report.streams[-MAX_STREAMS:])
    if report.questions:
        builder.questions = list(report.questions)
    if report.lost_services:
        builder.lostServices = list(report.lost_services)
    for row, draining in _new_rows(builder, "draining", report.draining):
        row.process = draining.process_id
        row.ageMs = draining.age_ms
    for row, customer in _new_rows(builder, "customers", report.customers):
        row.key = customer.key
        row.online = customer.online
        row.batch = customer.batch
    return t.cast(bytes, builder.to_bytes_packed())


def _new_rows(
    builder: t.Any, name: str, values: t.Sequence[_Value]
) -> t.Iterable[tuple[t.Any, _Value]]:
    """Make a list of rows, none if it is empty; return each with its value."""
    rows = builder.init(name, len(values)) if values else ()
    return zip(rows, values, strict=True)


def _encode_streams(builder: t.Any, streams: tuple[StreamReport, ...]) -> None:
    keys_by_origin: dict[StreamOrigin, list[int]] = collections.defaultdict(list)
    for stream in streams:
        keys_by_origin[stream.origin].append(stream.key)
    origins = tuple(keys_by_origin.items())
    for row, (origin, keys) in _new_rows(builder, "streams", origins):
        row.service = origin.service
        row.softwareVersion = origin.software_version
        row.process = origin.process_id
        row.streams = keys


def _decode_streams(reader: t.Any) -> tuple[StreamReport, ...]:
    streams = []
    for row in _list(reader, "streams"):
        origin = StreamOrigin(
            service=row.service,
            software_version=row.softwareVersion,
            process_id=row.process,
        )
        streams += [StreamReport(key=key, origin=origin) for key in row.streams]
    return tuple(streams)


def _read_loads(rows: t.Any) -> tuple[dict[str, WorkerLoad], dict[str, int]]:
    """Return the loads and the speed codes by worker."""
    load_by_worker = {}
    code_by_worker = {}
    for row in rows:
        get = row._get
        worker_id = get("worker")
        load_by_worker[worker_id] = WorkerLoad(online=get("online"), batch=get("batch"))
        if (code := get("speed")) != UNKNOWN_CODE:
            code_by_worker[worker_id] = code
    return load_by_worker, code_by_worker


def _read_configuration(get: t.Callable[[str], t.Any]) -> ConfigurationReading | None:
    mark = get("configuration")
    if not mark:
        return None
    return ConfigurationReading(mark=mark, age_ms=get("configurationAgeMs"))


def _read_customer(row: t.Any) -> CustomerLoad:
    get = row._get
    return CustomerLoad(key=get("key"), online=get("online"), batch=get("batch"))


def _list(reader: t.Any, name: str) -> t.Any:
    """Return the rows of a list; most lists of most reports are empty."""
    return reader._get(name) if reader._has(name) else ()


def decode(datagram: bytes) -> LoadReport:
    """Decode a datagram.

    Raises
    ------
    FrameInvalid
        The bytes are not a valid report.
    """
    with decoding(FrameInvalid):
        word_count = check_packed(datagram)
        reader = _SCHEMA.LoadReport.from_bytes_packed(
            datagram,
            traversal_limit_in_words=READS_PER_WORD * word_count + MIN_READ_WORDS,
        )
        load_by_worker, speed_code_by_worker = _read_loads(_list(reader, "loads"))
        get = reader._get
        report = LoadReport(
            vm_id=get("vmId"),
            zone=get("zone"),
            incarnation=get("incarnation"),
            sequence=get("sequence"),
            stopping=get("stopping"),
            restoring=get("restoring"),
            load_by_worker=load_by_worker,
            speed_code_by_worker=speed_code_by_worker,
            crash_reports=tuple(
                CrashReport(
                    fingerprint=row.fingerprint,
                    worker_id=row.worker,
                    crashed_wall_ms=row.crashedWallMs,
                    answered=row.answered,
                    prompt_parts=tuple(row.parts),
                )
                for row in _list(reader, "marks")
            ),
            completions=tuple(
                PartCompletion(part=row.part, completed_wall_ms=row.wallMs)
                for row in _list(reader, "completions")
            ),
            limits=tuple(
                LimitReport(
                    worker_id=row.worker,
                    per_s=row.perS if row.perS >= 0 else None,
                    age_ms=row.ageMs,
                    sent_count=row.sentCount,
                )
                for row in _list(reader, "limits")
            ),
            streams=_decode_streams(reader),
            questions=tuple(_list(reader, "questions")),
            lost_services=tuple(_list(reader, "lostServices")),
            draining=tuple(
                DrainingReport(process_id=row.process, age_ms=row.ageMs)
                for row in _list(reader, "draining")
            ),
            customers=tuple(_read_customer(row) for row in _list(reader, "customers")),
            reads_texts=get("readsTexts"),
            configuration=_read_configuration(get),
        )
        _check(report)
        return report


def _check(report: LoadReport) -> None:
    """Raise `ValueError` if a value can't be right, before it is used anywhere."""
    require(0 < len(report.vm_id) <= MAX_NAME_CHARS, "name of the VM")
    require(len(report.zone) <= MAX_NAME_CHARS, "name of the zone")
    require(len(report.customers) <= MAX_REPORTED, "number of customers")
    for limit in report.limits:
        require(limit.per_s is None or math.isfinite(limit.per_s), "rate limit")
