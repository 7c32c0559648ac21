import itertools

from foxtailbank.isolation import Isolation
from foxtailbank.quarantine import Fingerprint, Quarantine

BAD = Fingerprint(owner="a", digest="bad")
GOOD = Fingerprint(owner="b", digest="good")


def isolation(quarantine, fingerprint, now_ms=0):
    return quarantine.verdict(fingerprint, now_ms).isolation


def test_suspicion_grows_with_deaths_and_only_an_exclusive_death_refuses():
    quarantine = Quarantine()
    for n, wanted in enumerate([Isolation.SOLE_SUSPECT, Isolation.EXCLUSIVE]):
        quarantine.on_death(
            death_id=f"e{n}", in_flight=[BAD, GOOD], exclusive=False, now_ms=0
        )
        assert isolation(quarantine, BAD) is wanted
        assert isolation(quarantine, GOOD) is wanted
    quarantine.on_death(death_id="e2", in_flight=[BAD], exclusive=True, now_ms=0)
    assert isolation(quarantine, BAD) is Isolation.REFUSED
    quarantine.on_complete(GOOD, 0)
    assert isolation(quarantine, GOOD) is Isolation.NONE


def test_refusal_lapses_at_the_time_that_it_names():
    quarantine = Quarantine(mark_ttl_ms=50, quarantine_ttl_ms=100)
    quarantine.on_death(death_id="e1", in_flight=[BAD], exclusive=True, now_ms=0)
    quarantine.on_death(death_id="e2", in_flight=[BAD], exclusive=True, now_ms=5)
    retry_after_ms = quarantine.verdict(BAD, 10).retry_after_ms
    assert retry_after_ms == 95
    assert isolation(quarantine, BAD, 10 + retry_after_ms) is Isolation.NONE


def test_merging_is_commutative_and_idempotent():
    source = Quarantine()
    marks = [
        *source.on_death(death_id="e1", in_flight=[BAD], exclusive=False, now_ms=0),
        *source.on_death(death_id="e2", in_flight=[BAD], exclusive=True, now_ms=1),
        *source.on_complete(GOOD, 1),
    ]
    results = set()
    for order in itertools.permutations(marks * 2):
        target = Quarantine()
        for mark in order:
            target.merge([mark], 2)
        results.add(frozenset(target.marks(2)))
    assert results == {frozenset(marks)}
