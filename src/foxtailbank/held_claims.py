"""Finds claims that a VM holds without running what it claimed."""

import typing as t

from foxtailbank.item_set import ranges_of
from foxtailbank.ledger import Ledger
from foxtailbank.records import AnyEntry, CallReleased, ItemsReleased


def idle_claim_releases(
    *,
    ledger: Ledger,
    incarnation: str,
    running_calls: t.Container[tuple[str, str]],
    running_items: t.Callable[[str, int], int],
) -> t.Iterator[AnyEntry]:
    """Yield the entries that give back what an incarnation claimed but does not run.

    A VM whose ledger was replaced by a snapshot did not see which of its claims
    were won; nobody else may run them until it gives them back.

    Parameters
    ----------
    ledger : Ledger
        Replayed state.
    incarnation : str
        This run of this VM.
    running_calls : container of (str, str)
        Owner and key of each call that it dispatched or is about to dispatch,
        also if the outcome is unknown.
    running_items : callable
        Returns for a job and a chunk the bitmap of the items that it
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
            idle = claimed & ~running_items(job.job_id, chunk)
            if idle:
                yield ItemsReleased(
                    job_id=job.job_id,
                    chunk=chunk,
                    items=ranges_of(idle),
                    claimant=incarnation,
                )
