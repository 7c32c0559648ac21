"""Reports of restarted processes, also after the clock was set back."""

import pytest

from foxtailbank.address import parse_address
from foxtailbank.fleet.peer_table import PeerTable
from foxtailbank.fleet.report_intervals import silence_timeout_ms
from serving_fakes import make_report

SILENCE_TIMEOUT_MS = silence_timeout_ms(1)
ADDRESS = parse_address("127.0.0.1:1")


@pytest.mark.parametrize(
    ("incarnation", "sequence", "after_ms", "accepted"),
    [
        pytest.param(5, 3, 0, True, id="next"),
        pytest.param(5, 2, 0, False, id="repeated"),
        pytest.param(5, 1, SILENCE_TIMEOUT_MS, False, id="out-of-order"),
        pytest.param(6, 1, 0, True, id="new-process"),
        pytest.param(4, 9, 100, False, id="delayed-from-old-process"),
        pytest.param(
            4, 1, SILENCE_TIMEOUT_MS, True, id="new-process-after-clock-was-set-back"
        ),
    ],
)
def test_which_reports_are_accepted(incarnation, sequence, after_ms, accepted):
    table = PeerTable(vm_id="me", zone="z1")
    assert table.on_report(make_report("vm", incarnation=5, sequence=2), ADDRESS, 0)
    report = make_report("vm", incarnation=incarnation, sequence=sequence)
    assert table.on_report(report, ADDRESS, after_ms) is accepted
