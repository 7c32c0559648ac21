import collections

import pytest

from foxtailbank.poll_turns import PollTurns


def make_turns(ids, owned):
    turns = PollTurns(polls_per_turn=5)
    turns.set_endpoints(ids, owned=owned)
    return turns


@pytest.mark.parametrize("count", [0, 1, 5, 9, 340, 2_000])
def test_polls_are_bounded_and_nobody_is_left_out(count):
    ids = [f"e{n}" for n in range(count)]
    turns = make_turns(ids, set(ids[:17]))
    polls = collections.Counter()
    for _ in range(2 * count):
        turn = turns.next_turn()
        assert len(turn) <= 5
        assert len(set(turn)) == len(turn)
        polls.update(turn)
    assert set(polls) == set(ids)


def test_owned_endpoints_come_up_more_often():
    ids = [f"e{n}" for n in range(100)]
    owned = set(ids[:10])
    turns = make_turns(ids, owned)
    polls = collections.Counter()
    for _ in range(1_000):
        polls.update(turns.next_turn())
    least_owned = min(polls[one] for one in owned)
    most_other = max(polls[one] for one in ids[10:])
    assert least_owned >= 3 * most_other


def test_small_fleet_is_asked_at_once():
    assert len(make_turns(["a", "b"], set()).next_turn()) == 2


def test_turns_go_on_when_the_list_changes():
    turns = make_turns(["a", "b", "c", "d", "e", "f"], set())
    first = turns.next_turn()
    turns.set_endpoints(["b", "c", "d", "e", "f", "g"], owned=set())
    second = turns.next_turn()
    assert "a" not in second
    assert second[0] == "f"
    third = turns.next_turn()
    assert set(first) | set(second) | set(third) >= set("abcdefg")
