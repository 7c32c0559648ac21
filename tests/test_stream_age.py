import pytest

from foxtailbank.stream_age import MAX_SAMPLES, StreamAge

CASES = [
    # retention_ms, readings of (now_ms, end), expected offset after the last one
    (1_000, [(0, 10)], 0),
    (1_000, [(0, 10), (499, 20)], 0),
    (1_000, [(0, 10), (500, 20)], 10),
    (1_000, [(0, 10), (300, 20), (900, 30)], 20),
    (1_000, [(0, 10), (5_000, 30), (5_001, 40)], 10),
]


@pytest.mark.parametrize("retention_ms, readings, expected", CASES)
def test_records_seen_half_the_retention_ago_are_old(retention_ms, readings, expected):
    age = StreamAge(retention_ms=retention_ms)
    found = [age.observe(end=end, now_ms=now_ms) for now_ms, end in readings]
    assert found[-1] == expected
    assert found == sorted(found)


def test_memory_is_bounded():
    age = StreamAge(retention_ms=10_000)
    for now_ms in range(100_000):
        age.observe(end=now_ms, now_ms=now_ms)
    assert len(age._ends) <= MAX_SAMPLES + 1
