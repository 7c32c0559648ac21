import itertools

import pytest

from foxtailbank.isolation import Isolation
from foxtailbank.quarantine import (
    EXCLUSIVE_WAIT_MS,
    TOKENS_TO_CLEAR,
    Fingerprint,
    Quarantine,
)

BAD = Fingerprint(owner="a", digest="bad")
GOOD = Fingerprint(owner="b", digest="good")


def isolation(quarantine, fingerprint, now_ms=0):
    return quarantine.verdict(fingerprint, now_ms).isolation


def test_only_an_exclusive_crash_refuses():
    quarantine = Quarantine()
    for n in range(3):
        assert isolation(quarantine, BAD) is not Isolation.REFUSED
        quarantine.on_crash(
            death_id=f"e{n}", in_flight=[BAD, GOOD], exclusive=False, now_ms=0
        )
        assert isolation(quarantine, BAD) is Isolation.EXCLUSIVE
        assert isolation(quarantine, GOOD) is Isolation.EXCLUSIVE
    quarantine.on_crash(death_id="e3", in_flight=[BAD], exclusive=True, now_ms=0)
    assert isolation(quarantine, BAD) is Isolation.REFUSED
    quarantine.on_complete(GOOD, 0)
    assert isolation(quarantine, GOOD) is Isolation.NONE


@pytest.mark.parametrize(
    ("deaths", "waited_ms", "wanted"),
    [
        (1, EXCLUSIVE_WAIT_MS - 1, Isolation.EXCLUSIVE),
        (1, EXCLUSIVE_WAIT_MS, Isolation.SOLE_SUSPECT),
        (2, EXCLUSIVE_WAIT_MS, Isolation.EXCLUSIVE),
    ],
)
def test_long_wait_allows_sharing_after_one_death(deaths, waited_ms, wanted):
    quarantine = Quarantine()
    for n in range(deaths):
        quarantine.on_crash(
            death_id=f"e{n}", in_flight=[GOOD], exclusive=False, now_ms=0
        )
    assert quarantine.verdict(GOOD, 0, waited_ms=waited_ms).isolation is wanted


@pytest.mark.parametrize(
    ("tokens", "wanted"),
    [(TOKENS_TO_CLEAR - 1, Isolation.EXCLUSIVE), (TOKENS_TO_CLEAR, Isolation.NONE)],
)
def test_progress_beyond_the_crash_clears(tokens, wanted):
    quarantine = Quarantine()
    quarantine.on_crash(death_id="e", in_flight=[GOOD], exclusive=False, now_ms=0)
    quarantine.on_progress(GOOD, new_tokens=tokens, now_ms=0)
    assert isolation(quarantine, GOOD) is wanted


def test_refusal_expires_at_its_retry_time():
    quarantine = Quarantine(report_ttl_ms=50, quarantine_ttl_ms=100)
    quarantine.on_crash(death_id="e1", in_flight=[BAD], exclusive=True, now_ms=0)
    quarantine.on_crash(death_id="e2", in_flight=[BAD], exclusive=True, now_ms=5)
    retry_after_ms = quarantine.verdict(BAD, 10).retry_after_ms
    assert retry_after_ms == 95
    assert isolation(quarantine, BAD, 10 + retry_after_ms) is Isolation.NONE


def test_merging_is_commutative_and_idempotent():
    source = Quarantine()
    reports = [
        *source.on_crash(death_id="e1", in_flight=[BAD], exclusive=False, now_ms=0),
        *source.on_crash(death_id="e2", in_flight=[BAD], exclusive=True, now_ms=1),
        *source.on_complete(GOOD, 1),
    ]
    results = set()
    for order in itertools.permutations(reports * 2):
        target = Quarantine()
        for report in order:
            target.merge([report], 2)
        results.add(frozenset(target.reports(2)))
    assert results == {frozenset(reports)}
