"""Factories for ledger entries with default values, for tests."""

from foxtailbank import records
from foxtailbank.item_set import ItemRange


def ranges(*pairs):
    return tuple(ItemRange(first, count) for first, count in pairs)


def job(job_id="j1", counts=(4,), **changes):
    chunks = []
    first = 0
    for number, count in enumerate(counts):
        chunks.append(records.ChunkRef(100 + number, first, count))
        first += count
    fields = {
        "job_id": job_id,
        "owner": "mwangaza",
        "entry": "notices",
        "key": "",
        "digest": "d1",
        "deadline_ms": 1000,
        "item_count": first,
        "chunks": tuple(chunks),
    }
    return records.JobAccepted(**(fields | changes))


def results(*pairs, job_id="j1", chunk=0, at=500, failed=(), claimant="a"):
    return records.ChunkResults(
        job_id=job_id,
        chunk=chunk,
        items=ranges(*pairs),
        payload_offset=at,
        failed=ranges(*failed),
        claimant=claimant,
    )


def claim(*pairs, job_id="j1", chunk=0, claimant="a"):
    return records.ItemsClaimed(
        job_id=job_id, chunk=chunk, items=ranges(*pairs), claimant=claimant
    )


def abandon(*pairs, job_id="j1", chunk=0, claimant="a"):
    return records.ClaimsAbandoned(
        job_id=job_id, chunk=chunk, items=ranges(*pairs), claimant=claimant
    )


def release_items(*pairs, job_id="j1", chunk=0, claimant="a"):
    return records.ItemsReleased(
        job_id=job_id, chunk=chunk, items=ranges(*pairs), claimant=claimant
    )


def cancel(job_id="j1"):
    return records.JobCancelled(job_id=job_id)


def call(claimant="a", digest="d1", key="k1"):
    return records.CallClaimed(
        owner="mwangaza", key=key, digest=digest, claimant=claimant, at_ms=0
    )


def release(claimant="a", key="k1"):
    return records.CallReleased(owner="mwangaza", key=key, claimant=claimant)


def complete(claimant="a", key="k1", at=900):
    return records.CallCompleted(
        owner="mwangaza", key=key, claimant=claimant, status=200, payload_offset=at
    )


def envelope(sequence, *entries, incarnation="a"):
    return records.Envelope(
        schema=records.SCHEMA,
        incarnation=incarnation,
        sequence=sequence,
        entries=entries,
    )
