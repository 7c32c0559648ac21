"""Reports of processes that start anew, also with a clock that went back."""

import pytest

from foxtailbank.address import parse_address
from foxtailbank.fleet.peer_book import PeerBook
from foxtailbank.fleet.report_pace import silence_ms
from serving_fakes import make_report

SILENCE_MS = silence_ms(1)
ADDRESS = parse_address("127.0.0.1:1")


@pytest.mark.parametrize(
    ("incarnation", "sequence", "after_ms", "accepted"),
    [
        pytest.param(5, 3, 0, True, id="next"),
        pytest.param(5, 2, 0, False, id="repeated"),
        pytest.param(5, 1, SILENCE_MS, False, id="late"),
        pytest.param(6, 1, 0, True, id="new-process"),
        pytest.param(4, 9, 100, False, id="late-one-of-the-old-process"),
        pytest.param(4, 1, SILENCE_MS, True, id="new-process-whose-clock-went-back"),
    ],
)
def test_which_reports_count(incarnation, sequence, after_ms, accepted):
    book = PeerBook(vm_id="me", zone="z1")
    assert book.on_report(make_report("vm", incarnation=5, sequence=2), ADDRESS, 0)
    report = make_report("vm", incarnation=incarnation, sequence=sequence)
    assert book.on_report(report, ADDRESS, after_ms) is accepted
