"""What callers were told at all VMs, and which of it breaks the promise to them."""

import collections
import dataclasses

SETTLE_S = 1.0  # what was read at one VM must not be missing later than this
STATUS_WALL_S = 120.0  # for which the results of a closed submission stay readable


@dataclasses.dataclass(frozen=True, kw_only=True)
class Absence:
    """An answer that something is not there.

    `what` is a position, the id of an item whose body was asked for, or None for the
    submission. `age_s` is how long before the answer the VM held the whole log by its
    own account; None without such an account.
    """

    at_s: float
    vm: str
    submission_id: str
    what: object
    age_s: float | None = None


class AnswerOracle:
    """Collects answers in any order; `broken` compares them by their times."""

    def __init__(self, wall_rate):
        self._wall_rate = wall_rate
        self.submitted_s = {}
        self.accepted_s = {}
        self.first_read_s = {}
        self.content = {}
        self.finished_s = {}
        self.ended_s = {}
        self.absences = []
        self.differences = []
        self.wrong_ages = []
        self.recent_reads = collections.deque(maxlen=12)
        self.unknown_states = 0
        self.answers = 0

    def on_submitted(self, submission_id, at_s):
        self.submitted_s.setdefault(submission_id, at_s)

    def on_accepted(self, submission_id, at_s):
        known_s = self.accepted_s.get(submission_id, at_s)
        self.accepted_s[submission_id] = min(known_s, at_s)

    def on_page(self, vm, submission_id, position, page, at_s):
        """Handle results that were read, or that there is none."""
        self.answers += 1
        self.on_accepted(submission_id, at_s)
        for number, result in enumerate(page.results, start=position):
            self._on_result(vm, (submission_id, number), result, at_s)

    def _on_result(self, vm, key, result, at_s):
        content = (result.item_id, result.completed, result.text)
        known = self.content.setdefault(key, content)
        if known != content:
            self.differences.append((at_s, vm, key, known, content))
        if key not in self.first_read_s:
            self.recent_reads.append(key)
        self.first_read_s[key] = min(self.first_read_s.get(key, at_s), at_s)

    def on_absent(self, absence):
        self.answers += 1
        self.absences.append(absence)

    def on_wrong_age(self, vm, at_s, age_ms):
        """Handle that a state lacked records that it should hold by its age."""
        self.wrong_ages.append((at_s, vm, age_ms))

    def broken(self):
        """Return the answers that break the promise, and the wrong ages of states."""
        late = [a for a in self.absences if self.lateness_s(a) > SETTLE_S]
        old = [a for a in self.absences if not self._has_evidence(a)]
        return [*late, *old, *self.differences, *self.wrong_ages]

    def _has_evidence(self, absence):
        """Return whether the VM knew the log of SETTLE_S before.

        What it knows of an item that ended stays so; this needs no such evidence.
        """
        if isinstance(absence.what, str):
            return True
        return absence.age_s is not None and absence.age_s <= SETTLE_S

    def greatest_age_s(self):
        """Return the age of the oldest state from which anything was called absent."""
        ages = [a.age_s for a in self.absences if not isinstance(a.what, str)]
        return max((age_s for age_s in ages if age_s is not None), default=0.0)

    def greatest_lateness_s(self):
        """Return how long after a reading its absence was still told."""
        return max(map(self.lateness_s, self.absences), default=0.0)

    def lateness_s(self, absence):
        """Return since when what an answer calls absent was known to be there."""
        if self._may_be_retired(absence):
            return 0.0
        submission_id, what = absence.submission_id, absence.what
        if isinstance(what, int):
            since_s = self.first_read_s.get((submission_id, what))
        elif what is None:
            since_s = self.accepted_s.get(submission_id)
        else:
            since_s = self._body_owed_since_s(submission_id, what, absence.at_s)
        return 0.0 if since_s is None else max(0.0, absence.at_s - since_s)

    def _body_owed_since_s(self, submission_id, item_id, at_s):
        finished_s = self.finished_s.get((submission_id, item_id), at_s)
        gone_s = min(finished_s, self.ended_s.get(submission_id, at_s))
        return None if gone_s < at_s else self.accepted_s.get(submission_id)

    def _may_be_retired(self, absence):
        submitted_s = self.submitted_s.get(absence.submission_id, absence.at_s)
        age_s = (absence.at_s - submitted_s) * self._wall_rate
        return age_s > STATUS_WALL_S
