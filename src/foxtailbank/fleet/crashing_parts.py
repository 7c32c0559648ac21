"""Finds the prompt parts that crash workers, from reports of crashed requests.

Most requests in flight at a crash are innocent, and innocent requests share parts with
the one that is not. A part that crashes each worker is never in a request that is
answered whole, and is among the suspects of every crash that it causes. So a complete
answer clears its parts of all earlier crashes, and a crash that a found part explains
counts against no other part.
"""

import collections
import dataclasses
import typing as t

from foxtailbank.fleet.crash_report import CrashReport

CRASHES_TO_REFUSE = 3  # of workers that had begun to answer
# Of a part that was in a complete answer before, or whose workers had not begun to
# answer. In a spell with few requests, a sound part of the crashing requests can be in
# some crashes without an answer in between.
CRASHES_TO_REFUSE_IF_DOUBTFUL = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashingParts:
    """Prompt parts of which a request with all of them crashes workers.

    Attributes
    ----------
    parts : frozenset of int
        Digests of the parts; several if at each crash a request had all of them.
    last_crash_wall_ms : int
        When the last worker crashed under them, in milliseconds of wall clock.
    """

    parts: frozenset[int]
    last_crash_wall_ms: int


def find_crashing_parts(
    reports: t.Iterable[CrashReport], completed_wall_ms_by_part: t.Mapping[int, int]
) -> tuple[CrashingParts, ...]:
    """Return the parts that explain repeated crashes.

    Parameters
    ----------
    reports : iterable of CrashReport
        Reports of all VMs.
    completed_wall_ms_by_part : mapping of int to int
        When a request with a part was last answered whole, in milliseconds of wall
        clock.
    """
    evidence = _Evidence(reports, completed_wall_ms_by_part)
    found: list[CrashingParts] = []
    while causes := evidence.likeliest_causes():
        found += [evidence.describe(part) for part in causes]
        for part in causes:
            evidence.explain(part)
    return tuple(found)


class _Evidence:
    """Suspected parts by crashed worker; crashes that are explained count no more."""

    def __init__(
        self,
        reports: t.Iterable[CrashReport],
        completed_wall_ms_by_part: t.Mapping[int, int],
    ) -> None:
        self._completed_wall_ms_by_part = completed_wall_ms_by_part
        self._reports_by_part: dict[int, set[CrashReport]] = collections.defaultdict(
            set
        )
        self._workers_by_part: dict[int, set[str]] = collections.defaultdict(set)
        for report in _suspect_reports(reports):
            for part in report.prompt_parts:
                if completed_wall_ms_by_part.get(part, 0) <= report.crashed_wall_ms:
                    self._reports_by_part[part].add(report)
                    self._workers_by_part[part].add(report.worker_id)

    def likeliest_causes(self) -> list[int]:
        """Return the parts that explain the most crashes; empty if they are too few.

        They are several if different requests were suspects of the same crashes.
        """
        # In an order of its own, so that all VMs draw the same conclusion whatever the
        # order in which the reports reached them.
        eligible = sorted(
            part
            for part, workers in self._workers_by_part.items()
            if workers and self._is_enough(part)
        )
        if not eligible:
            return []
        most = max(eligible, key=lambda part: len(self._workers_by_part[part]))
        tied = [part for part in eligible if self._is_tied(part, most)]
        causes: list[int] = []
        while tied:
            cause = self._most_specific(tied[0], eligible)
            causes.append(cause)
            group = self._group(cause)
            tied = [part for part in tied[1:] if part not in group]
        return causes

    def describe(self, part: int) -> CrashingParts:
        """Return a part with those that it always came with."""
        reports = self._reports_by_part[part]
        return CrashingParts(
            parts=self._group(part),
            last_crash_wall_ms=max(report.crashed_wall_ms for report in reports),
        )

    def explain(self, part: int) -> None:
        """Count the crashes of a part against no other one."""
        explained = frozenset(self._workers_by_part[part])
        for workers in self._workers_by_part.values():
            workers -= explained

    def _is_tied(self, first: int, second: int) -> bool:
        return self._workers_by_part[first] == self._workers_by_part[second]

    def _most_specific(self, part: int, eligible: list[int]) -> int:
        """Return the part, or one after it that explains enough of its crashes.

        A sound first part is in the requests of a crashing part after it, and in
        innocent requests at other crashes. Should it be the cause, then those of its
        requests that are not refused crash workers as well.
        """
        reports = self._reports_by_part[part]
        later = [
            other
            for other in eligible
            if self._reports_by_part[other] < reports
            and all(_comes_after(other, part, r) for r in self._reports_by_part[other])
        ]
        if not later:
            return part
        return max(later, key=lambda other: len(self._workers_by_part[other]))

    def _group(self, part: int) -> frozenset[int]:
        """Return the parts of which a request had all, at each crash of a part.

        Any of them may be the cause; sound requests with one of them tell them apart.
        """
        reports = self._reports_by_part[part]
        workers = {report.worker_id for report in reports}
        return frozenset(
            other
            for other, known in self._reports_by_part.items()
            if workers <= {report.worker_id for report in known & reports}
        )

    def _is_enough(self, part: int) -> bool:
        """Return whether enough unexplained crashes speak against a part."""
        workers = self._workers_by_part[part]
        reports = self._reports_by_part[part]
        answered = {r.worker_id for r in reports if r.answered} & workers
        is_new = part not in self._completed_wall_ms_by_part
        if is_new and len(answered) >= CRASHES_TO_REFUSE:
            return True
        if len(workers) < CRASHES_TO_REFUSE_IF_DOUBTFUL:
            return False
        # While no request at all is answered, the workers are the cause.
        first_wall_ms = min(report.crashed_wall_ms for report in reports)
        return first_wall_ms < max(self._completed_wall_ms_by_part.values(), default=0)


def _comes_after(part: int, other: int, report: CrashReport) -> bool:
    parts = report.prompt_parts
    return parts.index(part) > parts.index(other)


def _suspect_reports(reports: t.Iterable[CrashReport]) -> list[CrashReport]:
    """Return the reports of requests that may have crashed their worker.

    Where a request had begun to be answered, one that had not did not crash the worker.
    """
    suspects = [report for report in reports if report.prompt_parts]
    answered_workers = {report.worker_id for report in suspects if report.answered}
    return [
        report
        for report in suspects
        if report.answered or report.worker_id not in answered_workers
    ]
