"""The items that this VM runs, kept in step with the ledger."""

import typing as t

from foxtailbank.clock import Clock
from foxtailbank.forward.worker_client import WorkerClient
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.records import Item
from foxtailbank.submissions.submission import Submission
from foxtailbank.submissions.submission_routes import SubmissionRoutes
from foxtailbank.submissions.submission_table import SubmissionTable


class RunTable:
    """Creates and stops runs to match the ledger.

    Parameters
    ----------
    owner_id : str
        This process, as ``vm/incarnation``.
    table : SubmissionTable
        Holds the ledger.
    routes : SubmissionRoutes
        Routes of the submissions.
    client : WorkerClient
        Knows the prompt parts of requests.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        owner_id: str,
        table: SubmissionTable,
        routes: SubmissionRoutes,
        client: WorkerClient,
        clock: Clock,
    ) -> None:
        self._owner_id = owner_id
        self._table = table
        self._routes = routes
        self._client = client
        self._clock = clock
        self._by_key: dict[tuple[str, str], ItemRun] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def all(self) -> t.Collection[ItemRun]:
        """Return all runs, waiting or running."""
        return self._by_key.values()

    def waiting(self, now_ms: int) -> list[ItemRun]:
        """Return those that may start now."""
        return [
            run
            for run in self._by_key.values()
            if not run.is_running and not run.is_done and run.not_before_ms <= now_ms
        ]

    @property
    def customer_names(self) -> frozenset[str]:
        """Customers that have items here; the name is empty for none."""
        return frozenset(run.customer_name for run in self._by_key.values())

    def sync(self) -> None:
        """Create and stop runs to match the ledger."""
        wanted: set[tuple[str, str]] = set()
        for submission in self._table.ledger.all():
            if submission.owner != self._owner_id or submission.ended:
                continue
            for item in submission.waiting_items():
                key = (submission.submission_id, item.item_id)
                wanted.add(key)
                if key not in self._by_key:
                    self._by_key[key] = self._new_run(submission, item)
                else:
                    self._by_key[key].submission = submission
        for key in self._by_key.keys() - wanted:
            self._by_key.pop(key).stop()

    def update_due_times(self) -> None:
        """Handle a new version of the routes."""
        for run in self._by_key.values():
            run.due_ms = self._routes.due_ms(run.submission)

    def _new_run(self, submission: Submission, item: Item) -> ItemRun:
        return ItemRun.create(
            submission,
            item,
            due_ms=self._routes.due_ms(submission),
            prompt_parts=self._client.prompt_parts(item.headers),
            now_ms=self._clock.now_ms(),
        )
