"""Refuses calls at once that the endpoints can't serve in time."""

import typing as t

from foxtailbank.breaker import BreakerState
from foxtailbank.clock import Clock
from foxtailbank.directory import Directory
from foxtailbank.overload import OverloadControl, PoolLoad
from foxtailbank.work import Work

FIRST_PLACES = 8


class OverloadGuard:
    """Keeps one control for each model.

    Parameters
    ----------
    clock : Clock
        Source of time.
    directory : Directory
        Known endpoints and their load.
    online_elsewhere : callable
        Gives the online requests that other VMs have in flight on a pool.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        online_elsewhere: t.Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._online_elsewhere = online_elsewhere
        self._directory = directory
        self._controls_by_pool: dict[str, OverloadControl] = {}

    def check(self, work: Work) -> int:
        """Return how long a call is expected to wait, in milliseconds.

        Parameters
        ----------
        work : Work
            The call.

        Raises
        ------
        Overloaded
            The wait exceeds what the call can bear; it did not run.
        """
        if not work.for_engine:
            return 0
        control = self._control(work.entry.pool)
        load = self._load(work.entry.pool)
        if not load.places:
            # The router tells better why there is no endpoint.
            return 0
        refusal = control.check(
            load,
            first_token_ms=work.entry.objective.ttft_ms,
            deadline_ms=work.deadline_at_ms,
            now_ms=self._clock.now_ms(),
        )
        if refusal is not None:
            raise refusal.error()
        return control.expected_wait_ms(load)

    def finished(
        self, work: Work, *, expected_wait_ms: int, first_ms: float, total_ms: float
    ) -> None:
        """Learn from a call that was answered.

        Parameters
        ----------
        work : Work
            The call.
        expected_wait_ms : int
            What `check` returned for it.
        first_ms, total_ms : float
            Time to the first content and to the end, in milliseconds.
        """
        if not work.for_engine:
            return
        control = self._control(work.entry.pool)
        control.on_first_token(expected_wait_ms=expected_wait_ms, wait_ms=first_ms)
        control.on_end(total_ms)

    def _control(self, pool: str) -> OverloadControl:
        return self._controls_by_pool.setdefault(pool, OverloadControl())

    def _load(self, pool: str) -> PoolLoad:
        now_ms = self._clock.now_ms()
        places = 0
        in_flight = 0
        waiting = 0
        for backend in self._directory.pool(pool):
            view = backend.view(now_ms)
            if view.draining or view.health is not BreakerState.CLOSED:
                continue
            in_flight += view.online_in_flight
            latest = backend.latest
            places += latest.max_running if latest else FIRST_PLACES
            waiting += latest.waiting if latest else 0
        if waiting:
            # Counts of other VMs lag; they are used only where engines queue.
            in_flight += self._online_elsewhere(pool)
        return PoolLoad(places=places, in_flight=in_flight)
