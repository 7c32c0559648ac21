import re
import xml.etree.ElementTree as ElementTree

import msgspec
import pytest

from burn_sample import sample_report
from foxtailbank.burn_merge import BurnReport
from foxtailbank.burn_report import burn_html, burn_json, burn_table


@pytest.fixture(scope="module")
def report():
    return sample_report()


def test_table(report, snapshot):
    assert burn_table(report) == snapshot


def test_json_round_trip(report):
    assert msgspec.json.decode(burn_json(report), type=BurnReport) == report


def test_page_is_self_contained(report):
    page = burn_html(report)
    assert "entry-c1" in page
    assert not re.search(r'(src|href)="(?!#)', page)
    drawings = re.findall(r"<svg.*?</svg>", page, flags=re.DOTALL)
    assert len(drawings) == 2
    for drawing in drawings:
        ElementTree.fromstring(drawing)


def test_page_escapes_names():
    empty = BurnReport(at_ms=0, vms=("<script>",), unreachable_vms=("<img>",), rows=())
    page = burn_html(empty)
    assert "<script>" not in page
    assert "<img>" not in page
