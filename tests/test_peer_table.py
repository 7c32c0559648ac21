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


# Guards against two sides of a cut that never hear each other again: both stopped
# sending while the cut lasted.
@pytest.mark.parametrize(
    ("silent_ms", "asked", "addresses"),
    [
        pytest.param(14_999, 1, [(), ()], id="still-reported-to"),
        pytest.param(15_000, 1, [("a",), ("b",)], id="in-turn"),
        pytest.param(15_000, 3, [("a", "b"), ("b", "a")], id="all"),
    ],
)
def test_vms_silent_for_long_get_reports_in_turn(silent_ms, asked, addresses):
    address_by_id = {
        "a": parse_address("127.0.0.1:1"),
        "b": parse_address("127.0.0.1:2"),
    }
    table = PeerTable(vm_id="me", zone="z1")
    for vm_id, address in address_by_id.items():
        table.on_report(make_report(vm_id, incarnation=1, sequence=1), address, 0)
    for expected in addresses:
        found = table.silent_addresses(asked, silent_ms)
        assert found == tuple(address_by_id[vm_id] for vm_id in expected)
