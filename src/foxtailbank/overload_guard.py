"""Refuses online calls that the endpoints of their pool can't serve in time."""

import typing as t

from foxtailbank.breaker import BreakerState
from foxtailbank.clock import Clock
from foxtailbank.endpoint_directory import EndpointDirectory
from foxtailbank.overload import OverloadControl, PoolLoad
from foxtailbank.work import Work

INITIAL_SLOTS = 8


class OverloadGuard:
    """Applies overload control to each pool separately.

    Parameters
    ----------
    clock : Clock
        Source of time.
    directory : EndpointDirectory
        Known endpoints and their load.
    online_elsewhere : callable
        Returns the number of online requests that other VMs have in flight on a pool.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: EndpointDirectory,
        online_elsewhere: t.Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._online_elsewhere = online_elsewhere
        self._directory = directory
        self._controls_by_pool: dict[str, OverloadControl] = {}

    def check(self, work: Work) -> int:
        """Return the expected wait of a call in milliseconds.

        Parameters
        ----------
        work : Work
            The call.

        Raises
        ------
        Overloaded
            The expected wait exceeds the limit of the call, which did not run.
        """
        if not work.is_for_engine:
            return 0
        control = self._control(work.entry.pool)
        load = self._load(work.entry.pool)
        if not load.slots:
            # The router reports the reason why no endpoint is available.
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

    def on_finished(
        self, work: Work, *, expected_wait_ms: int, first_ms: float, total_ms: float
    ) -> None:
        """Update the overload control from an answered call.

        Parameters
        ----------
        work : Work
            The call.
        expected_wait_ms : int
            Result of `check` for the call.
        first_ms, total_ms : float
            Time to the first content and to the end of the response, in milliseconds.
        """
        if not work.is_for_engine:
            return
        control = self._control(work.entry.pool)
        control.on_first_token(expected_wait_ms=expected_wait_ms, wait_ms=first_ms)
        control.on_end(total_ms)

    def _control(self, pool: str) -> OverloadControl:
        return self._controls_by_pool.setdefault(pool, OverloadControl())

    def _load(self, pool: str) -> PoolLoad:
        now_ms = self._clock.now_ms()
        slots = 0
        in_flight = 0
        waiting = 0
        for backend in self._directory.backends_in_pool(pool):
            view = backend.view(now_ms)
            if view.draining or view.health is not BreakerState.CLOSED:
                continue
            in_flight += view.online_in_flight
            latest = backend.latest_load
            slots += latest.max_running if latest else INITIAL_SLOTS
            waiting += latest.waiting if latest else 0
        if waiting:
            # Counts of other VMs lag, so they are used only while engines have a queue.
            in_flight += self._online_elsewhere(pool)
        return PoolLoad(slots=slots, in_flight=in_flight)
