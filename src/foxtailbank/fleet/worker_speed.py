"""How fast each worker serves requests, against the mean of its service.

A worker's answers show it: the time that they took, against the mean time of requests
of about the same size. Estimates of other VMs come with their load reports.
"""

import dataclasses
import math
import typing as t

from foxtailbank.fleet.worker import Worker

OWN_WEIGHT = 0.2  # of one answer: the estimate is of about the last five
PEER_WEIGHT = 0.05  # of one report; a cell sends some twenty a second of a busy worker
MEAN_WEIGHT = 0.05  # of one answer in the mean of its size class
FRESH_MS = 5_000  # later the own estimate is reported to nobody
MAX_OCTAVES = 3.0  # a worker counts as eight times as fast as the mean at most
STEPS_PER_OCTAVE = 40  # of a code; a step is 1.7%
MEAN_SPEED_CODE = 128  # of a worker as fast as the mean
UNKNOWN_CODE = 0  # as in the reports of earlier releases


@dataclasses.dataclass(kw_only=True)
class _Estimate:
    """Estimate of one worker, in octaves above the mean speed.

    Attributes
    ----------
    own : float
        From the answers that this VM got.
    answered_ms : int
        When it got the last one; negative before the first.
    all_vms : float
        From own answers and reports.
    """

    own: float = 0.0
    answered_ms: int = -FRESH_MS
    all_vms: float = 0.0


class WorkerSpeeds:
    """Estimates the speed of workers; old observations lose their weight."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Estimate] = {}
        self._mean_ms_by_class: dict[tuple[str, int], float] = {}

    def record(
        self, worker: Worker, *, tokens: int, duration_ms: float, now_ms: int
    ) -> None:
        """Add a whole answer.

        Parameters
        ----------
        worker : Worker
            Where the request ran.
        tokens : int
            Its size, by which it is compared with others; 0 if unknown.
        duration_ms : float
            How long it took.
        now_ms : int
            Current time.
        """
        duration_ms = max(1.0, duration_ms)
        size_class = (worker.service, tokens.bit_length())
        mean_ms = self._mean_ms_by_class.get(size_class, duration_ms)
        octaves = _clamp(math.log2(mean_ms / duration_ms))
        mean_ms += MEAN_WEIGHT * (duration_ms - mean_ms)
        self._mean_ms_by_class[size_class] = mean_ms
        estimate = self._by_id.setdefault(worker.worker_id, _Estimate())
        estimate.own += OWN_WEIGHT * (octaves - estimate.own)
        estimate.all_vms += OWN_WEIGHT * (octaves - estimate.all_vms)
        estimate.answered_ms = now_ms

    def speed(self, worker_id: str) -> float:
        """Return the speed of a worker against the mean; 1 if it is not known."""
        estimate = self._by_id.get(worker_id)
        return 1.0 if estimate is None else 2.0**estimate.all_vms

    def answer_age_ms(self, worker_id: str, now_ms: int) -> int | None:
        """Return the age of this VM's last whole answer of a worker; None for none."""
        estimate = self._by_id.get(worker_id)
        if estimate is None or estimate.answered_ms < 0:
            return None
        return now_ms - estimate.answered_ms

    def codes(self, worker_ids: t.Iterable[str], now_ms: int) -> dict[str, int]:
        """Return the own estimates that are fresh, each as a byte for reports.

        Estimates that rest on reports are not told on, or they would never be
        forgotten.
        """
        return {
            worker_id: MEAN_SPEED_CODE + round(estimate.own * STEPS_PER_OCTAVE)
            for worker_id in worker_ids
            if (estimate := self._by_id.get(worker_id)) is not None
            and now_ms - estimate.answered_ms < FRESH_MS
        }

    def on_report(self, worker_id: str, code: int) -> None:
        """Apply another VM's own estimate, as given by its `codes`."""
        if code == UNKNOWN_CODE:
            return
        octaves = _clamp((code - MEAN_SPEED_CODE) / STEPS_PER_OCTAVE)
        estimate = self._by_id.setdefault(worker_id, _Estimate())
        estimate.all_vms += PEER_WEIGHT * (octaves - estimate.all_vms)

    def forget(self, worker_id: str) -> None:
        """Drop the estimate of a removed worker."""
        self._by_id.pop(worker_id, None)


def _clamp(octaves: float) -> float:
    return max(-MAX_OCTAVES, min(MAX_OCTAVES, octaves))
