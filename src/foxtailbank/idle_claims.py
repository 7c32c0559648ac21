"""Release of leases on calls and items that a VM holds but does not run."""

import typing as t

from foxtailbank.item_set import bitmap_to_ranges
from foxtailbank.ledger import Ledger
from foxtailbank.records import AnyEntry, CallReleased, ItemsReleased


def idle_claim_releases(
    *,
    ledger: Ledger,
    incarnation: str,
    running_calls: t.Container[tuple[str, str]],
    running_item_bitmap: t.Callable[[str, int], int],
) -> t.Iterator[AnyEntry]:
    """Yield the ledger entries that release leases on work that is not running.

    A VM whose ledger was replaced by a snapshot has not seen which of its claims
    succeeded. No other VM may run these calls and items until they are released.

    Parameters
    ----------
    ledger : Ledger
        Replayed ledger.
    incarnation : str
        Incarnation of this VM.
    running_calls : container of (str, str)
        Owner and key of each call that this VM dispatched or is about to dispatch,
        including calls with an unknown outcome.
    running_item_bitmap : callable
        Takes a job id and a chunk; returns the bitmap of the items that this VM
        dispatched or is about to dispatch.
    """
    for (owner, key), call in ledger.calls.calls_by_key.items():
        held = call.claimant == incarnation and not call.completed
        if held and (owner, key) not in running_calls:
            yield CallReleased(owner=owner, key=key, claimant=incarnation)
    for job in ledger.jobs_by_id.values():
        if job.ended or job.idempotent:
            continue
        for chunk in job.partial_chunks():
            claimed = job.claimed_by_claimant(chunk).get(incarnation, 0)
            idle = claimed & ~running_item_bitmap(job.job_id, chunk)
            if idle:
                yield ItemsReleased(
                    job_id=job.job_id,
                    chunk=chunk,
                    items=bitmap_to_ranges(idle),
                    claimant=incarnation,
                )
