import collections

import pytest

from foxtailbank.poll_turns import PollTurns


@pytest.mark.parametrize("count", [1, 5, 9, 340, 2_000])
def test_polls_are_bounded_and_nobody_is_left_out(count):
    turns = PollTurns(polls_per_turn=5)
    ids = [f"e{n}" for n in range(count)]
    owned = set(ids[:17])
    polls = collections.Counter()
    for _ in range(4 * count):
        turn = turns.next_turn(ids, owned=owned.__contains__)
        assert len(turn) <= 5
        assert len(set(turn)) == len(turn)
        polls.update(turn)
    assert set(polls) == set(ids)


def test_owned_endpoints_come_up_more_often():
    turns = PollTurns(polls_per_turn=5)
    ids = [f"e{n}" for n in range(100)]
    owned = set(ids[:10])
    polls = collections.Counter()
    for _ in range(1_000):
        polls.update(turns.next_turn(ids, owned=owned.__contains__))
    least_owned = min(polls[one] for one in owned)
    most_other = max(polls[one] for one in ids[10:])
    assert least_owned >= 3 * most_other


def test_small_fleet_is_asked_at_once():
    turns = PollTurns(polls_per_turn=5)
    assert len(turns.next_turn(["a", "b"], owned=lambda one: False)) == 2
