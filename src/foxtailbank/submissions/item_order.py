"""The order in which waiting items start, and in which running ones are preempted.

Without customers, the items that are due first start first, and those that are due
last are preempted first. Among customers their rank comes before.
"""

import collections
import typing as t

from foxtailbank.customers.share_batch import BatchShares
from foxtailbank.submissions.item_run import ItemRun


def start_order(
    waiting: t.Iterable[ItemRun], *, shares: BatchShares, now_ms: int
) -> t.Iterator[ItemRun]:
    """Yield waiting items in the order in which they start.

    Overdue items come after those that can still be on time. Each item that is
    yielded counts as started, so that customers of one rank take turns.

    Parameters
    ----------
    waiting : iterable of ItemRun
        The items.
    shares : BatchShares
        Ranks of the customers.
    now_ms : int
        Current time.
    """
    runs_by_customer: dict[str, collections.deque[ItemRun]] = {}
    for run in sorted(waiting, key=lambda run: (run.due_ms < now_ms, run.due_ms)):
        runs = runs_by_customer.setdefault(run.customer_name, collections.deque())
        runs.append(run)
    while runs_by_customer:
        name = min(
            runs_by_customer,
            key=lambda name: (
                runs_by_customer[name][0].due_ms < now_ms,
                shares.rank(name),
                runs_by_customer[name][0].due_ms,
            ),
        )
        yield runs_by_customer[name].popleft()
        if not runs_by_customer[name]:
            del runs_by_customer[name]
        shares.on_start(name)


def preemption_order(
    running: t.Iterable[ItemRun], *, shares: BatchShares
) -> list[ItemRun]:
    """Return running items in the order in which they are preempted."""
    return sorted(
        running,
        key=lambda run: (shares.rank(run.customer_name), run.due_ms),
        reverse=True,
    )


def running_by_worker(runs: t.Iterable[ItemRun]) -> dict[str, list[ItemRun]]:
    """Return the running items, without those that are being stopped, by worker id."""
    runs_by_worker: dict[str, list[ItemRun]] = {}
    for run in runs:
        if run.cancel_scope is not None and not run.cancel_scope.cancel_called:
            runs_by_worker.setdefault(run.worker_id, []).append(run)
    return runs_by_worker
