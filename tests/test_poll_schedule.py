import collections

import pytest

from foxtailbank.poll_schedule import PollSchedule


def make_schedule(ids, owned):
    schedule = PollSchedule(polls_per_round=5)
    schedule.set_endpoints(ids, owned=owned)
    return schedule


@pytest.mark.parametrize("count", [0, 1, 5, 9, 340, 2_000])
def test_polls_are_bounded_and_reach_every_endpoint(count):
    ids = [f"e{n}" for n in range(count)]
    schedule = make_schedule(ids, set(ids[:17]))
    polls = collections.Counter()
    for _ in range(2 * count):
        polled = schedule.next_round()
        assert len(polled) <= 5
        assert len(set(polled)) == len(polled)
        polls.update(polled)
    assert set(polls) == set(ids)


def test_owned_endpoints_are_polled_more_often():
    ids = [f"e{n}" for n in range(100)]
    owned = set(ids[:10])
    schedule = make_schedule(ids, owned)
    polls = collections.Counter()
    for _ in range(1_000):
        polls.update(schedule.next_round())
    least_owned = min(polls[endpoint] for endpoint in owned)
    most_other = max(polls[endpoint] for endpoint in ids[10:])
    assert least_owned >= 3 * most_other


def test_small_fleet_is_polled_in_one_round():
    assert len(make_schedule(["a", "b"], set()).next_round()) == 2


def test_rotation_continues_when_the_list_changes():
    schedule = make_schedule(["a", "b", "c", "d", "e", "f"], set())
    first = schedule.next_round()
    schedule.set_endpoints(["b", "c", "d", "e", "f", "g"], owned=set())
    second = schedule.next_round()
    assert "a" not in second
    assert second[0] == "f"
    third = schedule.next_round()
    assert set(first) | set(second) | set(third) >= set("abcdefg")
