"""Finds a worker with a free place for an online request.

Answers the pattern of a wave of requests that fills the workers of a large fleet. There
each VM knows the others' choices late, so several send to the worker that seemed the
emptiest, and some of its requests wait while places elsewhere are free. A reservation
asks the worker itself; one that refuses is passed over.
"""

import dataclasses

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.placement import Choice, Refusal
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward import patience
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.forward_tools import ForwardTools
from foxtailbank.forward.route import Route
from foxtailbank.forward.worker_client import PlaceRefused
from foxtailbank.http1.failures import ConnectionBroken, ExchangeFailed

TRIES_A_ROUND = 4  # of a few milliseconds each
ROUND_PAUSE_MS = 30  # full workers of a large fleet free several places meanwhile
SEARCH_SHARE = 0.3  # of the entry's target; the rest is for the run
RESERVE_LIFE_MS = 500  # the request follows at once
RESERVE_TIMEOUT_MS = 250
CERTAIN_SHARE = 0.4  # of a worker's places; fewer requests leave room for unseen ones


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """Where a request goes.

    Attributes
    ----------
    choice : Choice
        The worker.
    reservation : str
        Id of the place that it keeps for the request; empty without one.
    """

    choice: Choice
    reservation: str = ""


class PlaceFinder:
    """Finds places for one request.

    Parameters
    ----------
    call : Call
        The request.
    route : Route
        Entry that it falls under.
    recorder : CallRecorder
        Takes a line for each refused reservation.
    tools : ForwardTools
        What all requests share.
    """

    def __init__(
        self, *, call: Call, route: Route, recorder: CallRecorder, tools: ForwardTools
    ) -> None:
        self._call = call
        self._route = route
        self._recorder = recorder
        self._client = tools.client
        self._fleet = tools.fleet
        self._clock = tools.clock
        self._rng = tools.rng

    async def find(self, *, tried: set[str], left_ms: float) -> Place | Refusal:
        """Return a place, or why there is none.

        Parameters
        ----------
        tried : set of str
            Workers that the request must not go to again.
        left_ms : float
            Time that the caller still waits.
        """
        service = self._route.choose_service(self._rng)
        until_ms = self._clock.now_ms() + SEARCH_SHARE * self._route.target_ms
        while True:
            place = await self._round(service, tried, left_ms)
            if place is not None:
                return place
            if self._clock.now_ms() + ROUND_PAUSE_MS > until_ms:
                break
            await anyio.sleep(ROUND_PAUSE_MS / MS_PER_S)
        # Nothing was free in time, so it queues at the worker that is the least busy.
        last = self._choose(service, tried, left_ms)
        return last if isinstance(last, Refusal) else Place(choice=last)

    async def _round(
        self, service: str, tried: set[str], left_ms: float
    ) -> Place | Refusal | None:
        """Ask a few workers; None if none of them has a place."""
        passed_over = set(tried)
        for _ in range(TRIES_A_ROUND):
            choice = self._choose(service, passed_over, left_ms)
            if isinstance(choice, Refusal):
                return choice if passed_over == tried else None
            worker = choice.worker
            if not self._is_uncertain(worker):
                return Place(choice=choice)
            if self._fleet.health.full(worker.worker_id, self._clock.now_ms()):
                return None
            reservation = await self._reserve(worker)
            if reservation:
                return Place(choice=Choice(worker=worker), reservation=reservation)
            passed_over.add(worker.worker_id)
        return None

    def _choose(
        self, service: str, tried: set[str], left_ms: float
    ) -> Choice | Refusal:
        longest_ms = patience.longest_wait_ms(
            target_ms=self._route.target_ms,
            timeout_ms=self._route.timeout_ms,
            left_ms=left_ms,
        )
        return self._fleet.choose(
            service=service,
            tried=tried,
            affinity=self._call.affinity,
            patience_ms=longest_ms,
            now_ms=self._clock.now_ms(),
        )

    def _is_uncertain(self, worker: Worker) -> bool:
        """Return whether the worker may be full although it seems to have room."""
        if not self._call.tokens or not self._fleet.neighbourhood.is_large:
            return False
        if not self._fleet.reservation_ms(worker.service):
            return False
        load = self._fleet.loads.total(worker.worker_id)
        return load.total >= CERTAIN_SHARE * worker.slots

    async def _reserve(self, worker: Worker) -> str:
        """Return the id of a reservation; empty if there is none to be had."""
        try:
            return await self._client.reserve(
                worker,
                tokens=self._call.tokens,
                life_ms=min(
                    RESERVE_LIFE_MS, self._fleet.reservation_ms(worker.service)
                ),
                timeout_ms=RESERVE_TIMEOUT_MS,
            )
        except PlaceRefused as failure:
            self._fleet.health.on_full(worker.worker_id, self._clock.now_ms())
            self._note(worker, failure)
        except ConnectionBroken as failure:
            # Workers drop idle connections without notice, which tells nothing of them.
            self._note(worker, failure)
        except ExchangeFailed as failure:
            self._fleet.on_worker_failure(worker, failure, self._clock.now_ms())
            self._note(worker, failure)
        return ""

    def _note(self, worker: Worker, failure: FoxtailbankError) -> None:
        self._recorder.place_refused(worker, f"{failure.code}: {failure.detail}")
