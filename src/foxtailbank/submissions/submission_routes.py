"""The routes by which accepted submissions are run.

A submission belongs to the batch route that it arrived at, by name. The newest
configuration says what holds for that route: its services, attempts, times and end. The
paths of the submission's items are for the workers alone; they may lie under any other
route or under none.
"""

import enum

from foxtailbank.clock import Clock
from foxtailbank.forward.configuration_age import ConfigurationAge
from foxtailbank.forward.route import Route
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.submissions.item_run import ItemRun
from foxtailbank.submissions.submission import Submission

# A change of the configuration is to be in force this long after it was accepted.
MAX_CONFIGURATION_AGE_MS = 2_000
# A route missing for longer has been removed; until then its update may be delayed.
ROUTE_REMOVED_MS = 3_000


class GiveUpReason(enum.Enum):
    """Why an item is given up that workers could still run."""

    RETENTION = "retention"
    ATTEMPTS = "attempts"
    ROUTE_REMOVED = "route_removed"


class SubmissionRoutes:
    """Finds the routes of submissions and decides by them what is still owed.

    Parameters
    ----------
    routes : RouteTable
        Current routes.
    age : ConfigurationAge
        How old they may be.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, routes: RouteTable, age: ConfigurationAge, clock: Clock
    ) -> None:
        self._routes = routes
        self._age = age
        self._clock = clock

    @property
    def are_in_force(self) -> bool:
        """Whether items may be started and given up by the routes."""
        return self._age.is_in_force(MAX_CONFIGURATION_AGE_MS)

    def find(self, submission: Submission) -> Route | None:
        """Return a submission's route; None if the configuration has none."""
        return self._routes.find_batch(submission.route)

    def due_ms(self, submission: Submission) -> int:
        """Return when the results are due, by this VM's monotonic clock.

        Without a route they are due at the submission's arrival.
        """
        route = self.find(submission)
        span_ms = route.run_deadline_ms if route is not None else 0
        return self._clock.now_ms() - self._age_of(submission) + span_ms

    def check_owed(self, run: ItemRun) -> GiveUpReason | None:
        """Return why an item is to be given up now; None if it is owed.

        To be asked only while `are_in_force`, as the newest routes may allow more.
        """
        route = self.find(run.submission)
        is_removed = self._observe_missing(run, is_missing=route is None)
        if route is None:
            return GiveUpReason.ROUTE_REMOVED if is_removed else None
        if route.may_give_up(self._age_of(run.submission)):
            return GiveUpReason.RETENTION
        if run.failure_count >= route.max_attempts:
            return GiveUpReason.ATTEMPTS
        return None

    def _observe_missing(self, run: ItemRun, *, is_missing: bool) -> bool:
        """Note if a run's route is missing; return whether it has been removed."""
        if not is_missing:
            run.route_missing_since_ms = None
            return False
        now_ms = self._clock.now_ms()
        if run.route_missing_since_ms is None:
            run.route_missing_since_ms = now_ms
        is_missing_long = now_ms - run.route_missing_since_ms > ROUTE_REMOVED_MS
        # Routes of an old configuration can lack one that was added since.
        return is_missing_long and self._age.is_recent(ROUTE_REMOVED_MS)

    def _age_of(self, submission: Submission) -> int:
        """Return the time since a submission's arrival, by the wall clock."""
        return self._clock.wall_ms() - submission.arrived_wall_ms
