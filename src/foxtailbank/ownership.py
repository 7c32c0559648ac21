"""Weighted rendezvous hashing: who owns what, agreed without messages."""

import dataclasses
import functools
import math
import typing as t

import xxhash

from foxtailbank import sentinels

HASH_RANGE = 1 << 64
MAX_SEEDS = 16_384


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """One possible owner.

    Attributes
    ----------
    candidate_id : str
        Name; the same on every VM.
    zone : str
        Availability zone.
    weight : float
        Share of the keys relative to the others; not positive means none.
    """

    candidate_id: str
    zone: str = ""
    weight: float = 1.0


def score(*, key: str, candidate: Candidate) -> float:
    """Return the candidate's score for a key; the highest score owns it.

    Parameters
    ----------
    key : str
        What is to be owned.
    candidate : Candidate
        Possible owner.

    Returns
    -------
    float
        Not negative; its expected rank follows the candidate's weight.
    """
    if candidate.weight <= 0:
        return 0.0
    digest = xxhash.xxh3_64_intdigest(key.encode(), _seed(candidate.candidate_id))
    fraction = (digest + 0.5) / HASH_RANGE
    if fraction >= 1.0:
        return math.inf
    return -candidate.weight / math.log(fraction)


@functools.lru_cache(maxsize=MAX_SEEDS)
def _seed(candidate_id: str) -> int:
    return xxhash.xxh3_64_intdigest(candidate_id.encode())


def owner_of(key: str, members: t.Iterable[Candidate]) -> Candidate | sentinels.Missing:
    """Return the owner of a key.

    Parameters
    ----------
    key : str
        What is to be owned.
    members : iterable of Candidate
        Possible owners, in any order.

    Returns
    -------
    Candidate or Missing
        ``NOT_FOUND`` if no candidate has a positive weight.
    """
    best = ranked(key, members, 1)
    return best[0] if best else sentinels.NOT_FOUND


def ranked(key: str, members: t.Iterable[Candidate], n: int) -> tuple[Candidate, ...]:
    """Return the best candidates for a key, best first.

    Parameters
    ----------
    key : str
        What is to be owned.
    members : iterable of Candidate
        Possible owners, in any order.
    n : int
        Most candidates returned.

    Returns
    -------
    tuple of Candidate
        At most ``n``; candidates without a positive weight are left out.
    """
    scored = [
        (score(key=key, candidate=member), member.candidate_id, member)
        for member in members
        if member.weight > 0
    ]
    if n == 1:
        return (max(scored)[2],) if scored else ()
    scored.sort(key=lambda entry: entry[:2], reverse=True)
    return tuple(member for _, _, member in scored[:n])


class CandidateSet:
    """Candidates prepared for many keys; agrees with `owner_of`.

    Parameters
    ----------
    members : iterable of Candidate
        Possible owners, in any order.
    """

    def __init__(self, members: t.Iterable[Candidate]) -> None:
        self.members = tuple(one for one in members if one.weight > 0)
        self._has_equal_weights = len({one.weight for one in self.members}) <= 1
        self._member_by_seed = {_seed(one.candidate_id): one for one in self.members}

    def owner_of(self, key: str) -> Candidate | sentinels.Missing:
        """Return the owner of a key; see `owner_of`."""
        if not self.members:
            return sentinels.NOT_FOUND
        if not self._has_equal_weights:
            return owner_of(key, self.members)
        data = key.encode()
        digest = xxhash.xxh3_64_intdigest
        best = max(self._member_by_seed, key=lambda seed: digest(data, seed))
        return self._member_by_seed[best]


class Placement:
    """Where chunks run and which VM drives each endpoint.

    A chunk is placed by zone first and then by endpoint within the zone, so the
    cost of a chunk follows zones plus endpoints of one zone, not all endpoints.

    Parameters
    ----------
    endpoints : iterable of Candidate
        Live endpoints of one pool; the weight is their capacity.
    vms : iterable of Candidate
        Live entry VMs.
    """

    def __init__(
        self, *, endpoints: t.Iterable[Candidate], vms: t.Iterable[Candidate]
    ) -> None:
        self._endpoints_by_zone = _by_zone(endpoints)
        self._vms_by_zone = _by_zone(vms)
        self._all_vms = CandidateSet(
            vm for one in self._vms_by_zone.values() for vm in one.members
        )
        self._zones = CandidateSet(
            Candidate(
                candidate_id=zone,
                zone=zone,
                weight=sum(one.weight for one in candidates.members),
            )
            for zone, candidates in self._endpoints_by_zone.items()
        )
        self._owner_by_endpoint: dict[str, Candidate | sentinels.Missing] = {}

    def zone_of_chunk(self, chunk_key: str) -> str | sentinels.Missing:
        """Return the availability zone that a chunk runs in."""
        zone = self._zones.owner_of(chunk_key)
        return zone.zone if isinstance(zone, Candidate) else zone

    def endpoint_of_chunk(self, chunk_key: str) -> Candidate | sentinels.Missing:
        """Return the endpoint that a chunk runs on.

        Parameters
        ----------
        chunk_key : str
            Job and chunk.

        Returns
        -------
        Candidate or Missing
            ``NOT_FOUND`` if no endpoint is live.
        """
        zone = self.zone_of_chunk(chunk_key)
        if isinstance(zone, sentinels.Missing):
            return zone
        return self._endpoints_by_zone[zone].owner_of(chunk_key)

    def owner_of_endpoint(self, endpoint: Candidate) -> Candidate | sentinels.Missing:
        """Return the VM that drives batch work on an endpoint.

        Parameters
        ----------
        endpoint : Candidate
            The endpoint.

        Returns
        -------
        Candidate or Missing
            A VM of the endpoint's availability zone, or of any zone where that
            one has no live VM; ``NOT_FOUND`` if there is none at all.
        """
        name = endpoint.candidate_id
        if name not in self._owner_by_endpoint:
            vms = self._vms_by_zone.get(endpoint.zone) or self._all_vms
            self._owner_by_endpoint[name] = vms.owner_of(name)
        return self._owner_by_endpoint[name]

    def owner_of_chunk(self, chunk_key: str) -> Candidate | sentinels.Missing:
        """Return the VM that drives a chunk."""
        endpoint = self.endpoint_of_chunk(chunk_key)
        if isinstance(endpoint, sentinels.Missing):
            return endpoint
        return self.owner_of_endpoint(endpoint)


def moved_fraction(
    *,
    keys: t.Sequence[str],
    before: t.Sequence[Candidate],
    after: t.Sequence[Candidate],
) -> float:
    """Return the fraction of keys whose owner differs between two views.

    Parameters
    ----------
    keys : sequence of str
        Keys to compare.
    before, after : sequence of Candidate
        The two views.

    Returns
    -------
    float
        Between 0 and 1.
    """
    moved = sum(owner_of(key, before) != owner_of(key, after) for key in keys)
    return moved / len(keys) if keys else 0.0


def _by_zone(candidates: t.Iterable[Candidate]) -> dict[str, CandidateSet]:
    members_by_zone: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if candidate.weight > 0:
            members_by_zone.setdefault(candidate.zone, []).append(candidate)
    return {zone: CandidateSet(members) for zone, members in members_by_zone.items()}
