"""Load reports between processes of different releases, and their size."""

import capnp
import pytest

from foxtailbank.fleet import load_report
from foxtailbank.fleet.configuration_reading import (
    MAX_AGE_MS,
    ConfigurationReading,
    version_mark,
)
from foxtailbank.fleet.crash_report import CrashReport, PartCompletion
from foxtailbank.fleet.draining_workers import MAX_REPORTED, DrainingReport
from foxtailbank.fleet.load_table import WorkerLoad
from foxtailbank.fleet.stream_origin import StreamOrigin, StreamReport
from foxtailbank.fleet.worker_limits import LimitReport
from serving_fakes import make_report

# The schema before reports said whether a VM has its state, under an id of its own, as
# one process can't load two schemas with the same id.
EARLIER_SCHEMA = """
@0xc2d4e1f07a9b3359;
struct LoadReport {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  stopping @3 :Bool;
  loads @4 :List(Load);
  marks @5 :List(Mark);
  zone @6 :Text;
}
struct Load { worker @0 :Text; online @1 :UInt16; batch @2 :UInt16; }
struct Mark { fingerprint @0 :UInt64; worker @1 :Text; }
"""


@pytest.fixture(scope="module")
def earlier_report(tmp_path_factory):
    capnp.remove_import_hook()
    path = tmp_path_factory.mktemp("schema") / "earlier.capnp"
    path.write_text(EARLIER_SCHEMA)
    return capnp.load(str(path)).LoadReport


@pytest.mark.parametrize("stopping", [False, True])
@pytest.mark.parametrize("restoring", [False, True])
@pytest.mark.parametrize("reads_texts", [False, True])
def test_a_report_is_decoded_as_encoded(stopping, restoring, reads_texts):
    report = make_report(
        "vm",
        stopping=stopping,
        restoring=restoring,
        reads_texts=reads_texts,
        load_by_worker={"w1": WorkerLoad(online=2, batch=1), "w2": WorkerLoad(batch=1)},
        speed_code_by_worker={"w1": 255},
        crash_reports=(
            CrashReport(
                fingerprint=7,
                worker_id="w1",
                crashed_wall_ms=1_790_000_000_000,
                answered=True,
                prompt_parts=(1, 2**64 - 1),
            ),
        ),
        limits=(
            LimitReport(worker_id="w1", per_s=2.5, age_ms=30, sent_count=7),
            LimitReport(worker_id="w2", per_s=0.0, age_ms=0, sent_count=0),
            LimitReport(worker_id="w3", per_s=None, age_ms=9, sent_count=2**40),
        ),
        completions=(PartCompletion(part=3, completed_wall_ms=1_790_000_000_001),),
    )
    assert load_report.decode(load_report.encode(report)) == report


# Guards against submissions that nobody takes over while two releases run.
def test_a_vm_of_an_earlier_release_counts_as_having_its_state(earlier_report):
    message = earlier_report.new_message(
        vmId="vm", incarnation=1, sequence=1, stopping=True
    )
    report = load_report.decode(message.to_bytes_packed())
    assert report.stopping
    assert not report.restoring


# Guards against results whose text a VM of an earlier release does not know.
def test_a_vm_of_an_earlier_release_does_not_know_the_log_of_texts(earlier_report):
    message = earlier_report.new_message(vmId="vm", incarnation=1, sequence=1)
    assert not load_report.decode(message.to_bytes_packed()).reads_texts


# Guards against reports that a VM of an earlier release can't read.
def test_an_earlier_release_reads_a_report(earlier_report):
    datagram = load_report.encode(make_report("vm", sequence=4, restoring=True))
    reader = earlier_report.from_bytes_packed(datagram)
    assert (reader.vmId, reader.sequence, reader.stopping) == ("vm", 4, False)


# Guards against crash reports and limits that make datagrams of several pieces.
def test_a_report_of_many_crashes_and_limits_fits_into_one_datagram():
    crashes = tuple(
        CrashReport(
            fingerprint=2**64 - 1 - number,
            worker_id=f"i-{number:010x}/1790000000000",
            crashed_wall_ms=1_790_000_000_000 + number,
            answered=True,
            prompt_parts=(2**63 + number, 2**62 + number),
        )
        for number in range(40)
    )
    completions = tuple(
        PartCompletion(part=2**63 + number, completed_wall_ms=1_790_000_000_000)
        for number in range(40)
    )
    limits = tuple(
        LimitReport(
            worker_id=f"i-{number:010x}", per_s=2.5, age_ms=900, sent_count=70_000
        )
        for number in range(8)
    )
    streams = tuple(
        StreamReport(
            key=2**63 + number,
            origin=StreamOrigin(
                service="wordsmith", software_version=f"v1.{number % 2}"
            ),
        )
        for number in range(40)
    )
    draining = tuple(
        DrainingReport(process_id=f"i-{number:010x}/1790000000000", age_ms=900)
        for number in range(MAX_REPORTED)
    )
    report = make_report(
        "front-nairobi-a-22",
        crash_reports=crashes,
        completions=completions,
        limits=limits,
        streams=streams,
        questions=tuple(2**63 + number for number in range(load_report.MAX_STREAMS)),
        draining=draining,
        lost_services=("wordsmith", "ledger-app"),
    )
    size_bytes = len(load_report.encode(report))
    assert size_bytes <= load_report.MAX_DATAGRAM_BYTES


# Guards against datagrams that outgrow what a path carries in one piece.
def test_saying_that_the_state_is_missing_takes_at_most_one_byte():
    sizes = [
        len(load_report.encode(make_report("vm", restoring=restoring)))
        for restoring in (False, True)
    ]
    assert sizes[1] <= sizes[0] + 1


# Guards against a VM that ends or falls silent by what its configuration says, and
# against two versions that peers take for one.
@pytest.mark.parametrize("version", [0, 7, 2**32 - 2, 2**32 - 1, 2**32, 2**70])
@pytest.mark.parametrize("age_ms", [0, 1_200, MAX_AGE_MS, MAX_AGE_MS + 1])
def test_what_was_read_of_the_configuration_is_reported(version, age_ms):
    sent, following = (
        ConfigurationReading(mark=version_mark(number), age_ms=age_ms)
        for number in (version, version + 1)
    )
    report = make_report("vm", configuration=sent)
    received = load_report.decode(load_report.encode(report)).configuration
    assert received == (sent if age_ms <= MAX_AGE_MS else None)
    assert received != following


def test_a_report_without_a_configuration_has_none():
    report = make_report("vm", configuration=None)
    assert load_report.decode(load_report.encode(report)).configuration is None
