"""An attempt that this VM sends to a worker itself."""

import contextlib

from foxtailbank.customers.share_counts import customer_key
from foxtailbank.fleet.load_table import LoadKind
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.attempt_target import AttemptTarget
from foxtailbank.forward.call import Call
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.slot_finder import Assignment
from foxtailbank.forward.worker_client import WorkerClient, WorkerResponse
from foxtailbank.http1.failures import ExchangeFailed


class WorkerTarget(AttemptTarget):
    """A worker that was chosen for the attempt.

    Parameters
    ----------
    assignment : Assignment
        The worker and its reservation.
    client : WorkerClient
        Connections to workers.
    fleet : FleetState
        Updated by the outcome.
    customer_name : str
        Customer that sent the request; empty without a key.
    """

    def __init__(
        self,
        *,
        assignment: Assignment,
        client: WorkerClient,
        fleet: FleetState,
        customer_name: str = "",
    ) -> None:
        self._worker = assignment.choice.worker
        self._reservation = assignment.reservation
        self._client = client
        self._fleet = fleet
        self.endpoint_id = self._worker.worker_id
        self.peer_id = ""
        self.software_version = self._worker.software_version
        self.service = self._worker.service
        self.process_id = self._worker.process_id
        self.wait_ms = assignment.choice.wait_ms
        self._customer_key = (
            customer_key(service=self.service, name=customer_name)
            if customer_name
            else None
        )

    def exchange(
        self,
        call: Call,
        *,
        remaining_ms: int,
        head_timeout_ms: float,
        resume_after: str,
        origin: StreamOrigin | None,
    ) -> contextlib.AbstractAsyncContextManager[WorkerResponse]:
        """Send the request to the worker, which was chosen for its origin."""
        return self._client.exchange(
            self._worker,
            call,
            remaining_ms=remaining_ms,
            head_timeout_ms=head_timeout_ms,
            resume_after=resume_after,
            reservation=self._reservation,
        )

    async def may_continue(self) -> bool:
        """Return whether the list names the chosen process still."""
        return await self._fleet.is_current(self._worker)

    async def new_origin(self, response: WorkerResponse) -> StreamOrigin:
        """Return the software of the worker, in doubt by a fresh list."""
        return await self._fleet.new_origin(self._worker)

    def origin_of(self, response: WorkerResponse) -> StreamOrigin:
        """Return the software of the worker."""
        return StreamOrigin.of(self._worker)

    def on_start(self) -> None:
        """Count the request as in flight."""
        self._fleet.add_in_flight(
            self._worker.worker_id, LoadKind.ONLINE, self._customer_key
        )

    def on_end(self) -> None:
        """Count the request as finished."""
        self._fleet.remove_in_flight(
            self._worker.worker_id, LoadKind.ONLINE, self._customer_key
        )

    def on_answer(self, response: WorkerResponse) -> None:
        """Apply what the response says of its worker."""
        self._fleet.on_answer(self._worker, response)

    def on_not_run(self, response: WorkerResponse) -> bool:
        """Update the state of a worker that did not run the request."""
        self._fleet.on_not_run(self._worker, response)
        return True

    def on_error(self, reason: str) -> None:
        """Update the health of the worker."""
        self._fleet.on_worker_error(self._worker, reason)

    def on_failure(
        self, call: Call, failure: ExchangeFailed, progress: AttemptProgress
    ) -> None:
        """Update the worker's health, and report a crash if it is one."""
        self._fleet.on_request_failure(self._worker, call, failure, progress=progress)

    def on_success(self, call: Call, duration_ms: int) -> None:
        """Update the worker's health, its speed and the run times of its service."""
        self._fleet.health.on_success(self._worker.worker_id)
        self._fleet.on_completed(
            self._worker, tokens=call.tokens, duration_ms=duration_ms
        )
        self._fleet.crashes.on_completed(call)
