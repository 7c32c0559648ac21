import pathlib
import re

import pytest

from foxtailbank.events import Event

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


def test_log_page_lists_every_event():
    text = (ROOT / "docs" / "operators" / "logs.md").read_text(encoding="utf-8")
    listed = re.findall(r"^\| `([a-z_]+)` \|", text.split("## Events")[1], re.MULTILINE)
    assert sorted(listed) == sorted(event.value for event in Event)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_links_between_pages_resolve(page):
    text = page.read_text(encoding="utf-8")
    for target in re.findall(r"\]\(([^)#:]+)\)", text):
        assert (page.parent / target).exists(), target
