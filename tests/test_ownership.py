import collections

import pytest

from foxtailbank import ownership, sentinels

KEYS = [f"job-7/{index}" for index in range(4000)]


def candidates(count, zones=1, weight=1.0):
    return [
        ownership.Candidate(
            candidate_id=f"c{index}", zone=f"z{index % zones}", weight=weight
        )
        for index in range(count)
    ]


@pytest.mark.parametrize("members", [[], candidates(2, weight=0.0)])
def test_no_owner_without_a_weighted_candidate(members):
    assert ownership.owner_of("key", members) is sentinels.NOT_FOUND


def test_order_of_members_does_not_matter():
    members = candidates(9)
    for key in KEYS[:200]:
        expected = ownership.ranked(key, members, 3)
        assert ownership.ranked(key, members[::-1], 3) == expected
        assert ownership.owner_of(key, members) == expected[0]


@pytest.mark.parametrize("count", [3, 12, 48])
def test_only_keys_of_the_removed_member_move(count):
    members = candidates(count)
    after = members[1:]
    for key in KEYS:
        before = ownership.owner_of(key, members)
        if before != members[0]:
            assert ownership.owner_of(key, after) == before
    moved = ownership.moved_fraction(keys=KEYS, before=members, after=after)
    assert moved == pytest.approx(1 / count, rel=0.35)


def test_keys_follow_weights():
    members = [
        ownership.Candidate(candidate_id="a", weight=1.0),
        ownership.Candidate(candidate_id="b", weight=3.0),
    ]
    owners = collections.Counter(
        ownership.owner_of(key, members).candidate_id for key in KEYS
    )
    assert owners["b"] / len(KEYS) == pytest.approx(0.75, abs=0.03)


def test_endpoint_and_owner_of_a_chunk_are_in_its_zone():
    endpoints = candidates(9, zones=3)
    vms = [
        ownership.Candidate(candidate_id=f"vm{index}", zone=f"z{index % 3}")
        for index in range(6)
    ]
    placement = ownership.Placement(endpoints=endpoints, vms=vms)
    used = collections.Counter()
    for key in KEYS:
        endpoint = placement.endpoint_of_chunk(key)
        owner = placement.owner_of_chunk(key)
        assert owner.zone == endpoint.zone == placement.zone_of_chunk(key)
        assert owner == placement.owner_of_endpoint(endpoint)
        used[endpoint.candidate_id] += 1
    assert min(used.values()) > len(KEYS) / 9 * 0.75


def test_endpoint_of_a_zone_without_vms_has_an_owner_elsewhere():
    endpoint = ownership.Candidate(candidate_id="e", zone="lost")
    vms = [ownership.Candidate(candidate_id="vm", zone="z")]
    placement = ownership.Placement(endpoints=[endpoint], vms=vms)
    assert placement.owner_of_endpoint(endpoint) == vms[0]
    alone = ownership.Placement(endpoints=[endpoint], vms=[])
    assert alone.owner_of_chunk("key") is sentinels.NOT_FOUND


def test_only_chunks_of_a_leaving_endpoint_move():
    endpoints = candidates(12, zones=3)
    before = ownership.Placement(endpoints=endpoints, vms=[])
    after = ownership.Placement(endpoints=endpoints[1:], vms=[])
    moved = sum(
        before.endpoint_of_chunk(key) != after.endpoint_of_chunk(key) for key in KEYS
    )
    lost = sum(before.endpoint_of_chunk(key) == endpoints[0] for key in KEYS)
    assert lost <= moved <= 2 * lost


@pytest.mark.parametrize("weights", [(1.0,), (2.0, 3.0)], ids=["equal", "mixed"])
def test_prepared_candidates_agree(weights):
    members = [
        ownership.Candidate(candidate_id=f"c{n}", weight=weights[n % len(weights)])
        for n in range(9)
    ]
    prepared = ownership.CandidateSet(members[::-1])
    for key in KEYS[:500]:
        assert prepared.owner_of(key) == ownership.owner_of(key, members)
