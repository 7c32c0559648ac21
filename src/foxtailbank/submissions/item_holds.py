"""Why batch items are held back that a worker could run."""

import enum
import typing as t

from foxtailbank.forward.crash_tracker import CrashTracker
from foxtailbank.log_follower import LogFollower
from foxtailbank.submissions.append_queue import AppendQueue
from foxtailbank.submissions.result_texts import ResultTexts
from foxtailbank.submissions.submission_routes import SubmissionRoutes

# After a crash under a part of the item's prompt. Such an item is still owed: a part
# can be suspect without cause, and a whole answer clears it.
CRASHING_ITEM_PAUSE_MS = 8_000


class Hold(enum.Enum):
    """Why this VM starts no item at all."""

    STOPPING = "vm_stopping"
    APPENDS_FULL = "append_queue_full"
    LEDGER_BEHIND = "ledger_behind"
    CONFIGURATION_OLD = "configuration_old"


def find_hold(
    *,
    is_stopping: bool,
    appends: AppendQueue,
    texts: ResultTexts,
    follower: LogFollower,
    routes: SubmissionRoutes,
) -> Hold | None:
    """Return why this VM starts no item now; None if it does."""
    if is_stopping:
        return Hold.STOPPING
    if not (appends.has_capacity and texts.has_capacity):
        return Hold.APPENDS_FULL
    if not follower.has_caught_up:  # submissions may have ended or have another owner
        return Hold.LEDGER_BEHIND
    if not routes.are_in_force:  # a route may have been removed or changed
        return Hold.CONFIGURATION_OLD
    return None


def crash_pause_ms(crashes: CrashTracker, parts: t.Collection[int]) -> int:
    """Return how long to hold an item back after crashes under its prompt."""
    age_ms = crashes.crash_age_ms(parts)
    return max(0, CRASHING_ITEM_PAUSE_MS - age_ms) if age_ms is not None else 0
