"""Weighted rendezvous hashing: VMs agree on owners without exchanging messages."""

import dataclasses
import functools
import math
import typing as t

import xxhash

from foxtailbank import sentinels

HASH_RANGE = 1 << 64
SEED_CACHE_SIZE = 16_384


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A possible owner of keys.

    Attributes
    ----------
    candidate_id : str
        Identifier, the same on every VM.
    zone : str
        Availability zone.
    weight : float
        Relative share of the keys; none if zero or negative.
    """

    candidate_id: str
    zone: str = ""
    weight: float = 1.0


def score(*, key: str, candidate: Candidate) -> float:
    """Return a candidate's score for a key; the highest score owns the key.

    Parameters
    ----------
    key : str
        Key to assign.
    candidate : Candidate
        Possible owner.

    Returns
    -------
    float
        Not negative; a candidate has the highest score with a probability
        proportional to its weight.
    """
    if candidate.weight <= 0:
        return 0.0
    digest = xxhash.xxh3_64_intdigest(key.encode(), _seed(candidate.candidate_id))
    fraction = (digest + 0.5) / HASH_RANGE
    if fraction >= 1.0:
        return math.inf
    return -candidate.weight / math.log(fraction)


@functools.lru_cache(maxsize=SEED_CACHE_SIZE)
def _seed(candidate_id: str) -> int:
    return xxhash.xxh3_64_intdigest(candidate_id.encode())


def owner_of(key: str, members: t.Iterable[Candidate]) -> Candidate | sentinels.Missing:
    """Return the owner of a key.

    Parameters
    ----------
    key : str
        Key to assign.
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
        Key to assign.
    members : iterable of Candidate
        Possible owners, in any order.
    n : int
        Maximum number of candidates to return.

    Returns
    -------
    tuple of Candidate
        At most ``n``; candidates without a positive weight are omitted.
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
    """Candidates prepared for lookups of many keys, with the results of `owner_of`.

    Parameters
    ----------
    members : iterable of Candidate
        Possible owners, in any order.
    """

    def __init__(self, members: t.Iterable[Candidate]) -> None:
        self.members = tuple(member for member in members if member.weight > 0)
        self._has_equal_weights = len({member.weight for member in self.members}) <= 1
        self._member_by_seed = {
            _seed(member.candidate_id): member for member in self.members
        }

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
    """Assigns chunks to endpoints, and endpoints to the VMs that run their batch work.

    A chunk is assigned to a zone first and then to an endpoint of that zone, so a
    lookup costs one score per zone and per endpoint of one zone, not one for each
    endpoint of the fleet.

    Parameters
    ----------
    endpoints : iterable of Candidate
        Live endpoints of one pool, weighted by capacity.
    vms : iterable of Candidate
        Live entry VMs.
    """

    def __init__(
        self, *, endpoints: t.Iterable[Candidate], vms: t.Iterable[Candidate]
    ) -> None:
        self._endpoints_by_zone = _by_zone(endpoints)
        self._vms_by_zone = _by_zone(vms)
        self._all_vms = CandidateSet(
            vm for candidates in self._vms_by_zone.values() for vm in candidates.members
        )
        self._zones = CandidateSet(
            Candidate(
                candidate_id=zone,
                zone=zone,
                weight=sum(member.weight for member in candidates.members),
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
            Identifies job and chunk.

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
        """Return the VM that runs the batch work of an endpoint.

        Parameters
        ----------
        endpoint : Candidate
            Endpoint to look up.

        Returns
        -------
        Candidate or Missing
            A VM of the endpoint's availability zone, or of any zone if that one
            has no live VM; ``NOT_FOUND`` if no VM is live.
        """
        name = endpoint.candidate_id
        if name not in self._owner_by_endpoint:
            vms = self._vms_by_zone.get(endpoint.zone) or self._all_vms
            self._owner_by_endpoint[name] = vms.owner_of(name)
        return self._owner_by_endpoint[name]

    def owner_of_chunk(self, chunk_key: str) -> Candidate | sentinels.Missing:
        """Return the VM that runs a chunk."""
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
