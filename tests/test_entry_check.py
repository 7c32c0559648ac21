import copy

import pytest

from foxtailbank.entry import key_hash
from foxtailbank.entry_check import parse_entry
from foxtailbank.exceptions import SettingsInvalid
from foxtailbank.problem import HIDDEN

RAW = {
    "name": "tributes",
    "owner": "mwangaza",
    "work_class": "online",
    "kind": "engine",
    "pool": "wordsmith",
    "model": "wordsmith",
    "key_hashes": [key_hash("demo-key")],
}


def raw_entry(**changes):
    raw = copy.deepcopy(RAW) | changes
    return {name: value for name, value in raw.items() if value is not ...}


INVALID_ENTRIES = [
    ({"owner": ...}, "owner", "missing"),
    ({"owner": "a b"}, "owner", "matching regex"),
    ({"work_class": "nightly"}, "work_class", "invalid enum value"),
    ({"work_clas": "batch"}, "work_clas", "did you mean work_class?"),
    ({"model": ""}, "model", "missing"),
    ({"kind": "service"}, "model", "names no model"),
    ({"key_hashes": []}, "key_hashes", "at least one"),
    ({"key_hashes": "demo-key"}, "key_hashes", "expected a list"),
    ({"key_hashes": ["demo-key"]}, "key_hashes[0]", "matching regex"),
    ({"key_hashes": [key_hash("a")] * 2}, "key_hashes", "twice"),
    ({"limits": {"concurrency": 0}}, "limits.concurrency", ">= 1"),
    ({"limits": {"requests_per_s": "9"}}, "limits.requests_per_s", "expected float"),
    ({"limits": []}, "limits", "expected a table"),
    ({"objective": {"good_share": 1}}, "objective.good_share", "< 1"),
    ({"objective": {"ttft_ms": 61_000}}, "objective.ttft_ms", "limits.deadline_ms"),
    ({"desired": {"adapters": [{"name": "x"}]}}, "desired.adapters[0].version", "miss"),
    ({"kind": "service", "model": "", "desired": {}}, "desired", "takes no orders"),
    ({"idempotent": 1}, "idempotent", "expected bool"),
]


@pytest.mark.parametrize(("changes", "key", "reason"), INVALID_ENTRIES)
def test_invalid_entry_reports_field_and_reason(changes, key, reason):
    with pytest.raises(SettingsInvalid) as caught:
        parse_entry(raw_entry(**changes))
    problems = caught.value.problems
    assert any(p.key == key and reason in p.reason for p in problems), problems


def test_all_problems_are_reported_at_once():
    with pytest.raises(SettingsInvalid) as caught:
        parse_entry(raw_entry(owner=..., kind="x", limits={"concurrency": 0}))
    assert len(caught.value.problems) == 3


def test_plain_key_in_place_of_hash_is_hidden():
    with pytest.raises(SettingsInvalid) as caught:
        parse_entry(raw_entry(key_hashes=["very-secret-key"]))
    assert caught.value.problems[0].value == HIDDEN
    assert "very-secret-key" not in str(caught.value)


CONFLICTS = [
    ({"owner": "vatnsdaelur"}, "key_hashes"),
    ({"work_class": "online"}, "model"),
    ({"work_class": "batch"}, None),
    ({"model": "malvinnsla"}, None),
    ({"kind": "service", "model": ""}, None),
]


@pytest.mark.parametrize(("changes", "key"), CONFLICTS)
def test_conflict_with_another_entry(changes, key):
    other = parse_entry(raw_entry(name="other"))
    raw = raw_entry(**changes)
    if key is None:
        parse_entry(raw, others=[other])
        return
    with pytest.raises(SettingsInvalid) as caught:
        parse_entry(raw, others=[other])
    assert caught.value.problems[0].key == key


def test_separately_given_name_must_match():
    assert parse_entry(raw_entry(name=...), name="tributes").name == "tributes"
    with pytest.raises(SettingsInvalid, match="differs"):
        parse_entry(RAW, name="notices")
