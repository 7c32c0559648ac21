"""Where one attempt of an online request is sent."""

import abc
import contextlib

from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.attempt_progress import AttemptProgress
from foxtailbank.forward.call import Call
from foxtailbank.forward.worker_client import WorkerResponse
from foxtailbank.http1.failures import ExchangeFailed


class AttemptTarget(abc.ABC):
    """A worker, or another VM that carries out the attempt.

    Attributes
    ----------
    endpoint_id : str
        The worker; empty while it is unknown.
    peer_id : str
        The other VM; empty for a worker.
    software_version : str
        Version of the worker's software; empty while it is unknown.
    service : str
        Service of the worker.
    process_id : str
        The worker's process; empty while it is unknown.
    wait_ms : float
        Expected wait for a slot, in milliseconds.
    """

    endpoint_id: str
    peer_id: str
    software_version: str
    service: str
    process_id: str
    wait_ms: float

    @abc.abstractmethod
    def exchange(
        self,
        call: Call,
        *,
        remaining_ms: int,
        head_timeout_ms: float,
        resume_after: str,
        origin: StreamOrigin | None,
    ) -> contextlib.AbstractAsyncContextManager[WorkerResponse]:
        """Send the request; see `WorkerClient.exchange`.

        Parameters
        ----------
        call : Call
            The request.
        remaining_ms : int
            Remaining time of the caller.
        head_timeout_ms : float
            Timeout for the response head.
        resume_after : str
            Id of the last event that was received; empty for none.
        origin : StreamOrigin or None
            Software that wrote the events so far.
        """

    @abc.abstractmethod
    async def may_continue(self) -> bool:
        """Return whether the answer to a continued stream is of the chosen worker."""

    @abc.abstractmethod
    async def new_origin(self, response: WorkerResponse) -> StreamOrigin:
        """Return the software that writes a stream which begins with a response."""

    @abc.abstractmethod
    def origin_of(self, response: WorkerResponse) -> StreamOrigin:
        """Return the software that writes a response."""

    @abc.abstractmethod
    def on_start(self) -> None:
        """Handle that the request is about to be sent."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Handle the end of the attempt."""

    @abc.abstractmethod
    def on_answer(self, response: WorkerResponse) -> None:
        """Handle the head of any response."""

    @abc.abstractmethod
    def on_not_run(self, response: WorkerResponse) -> bool:
        """Handle a response that states that the request was not run.

        Returns
        -------
        bool
            Whether a worker was asked, so that the attempt counts.
        """

    @abc.abstractmethod
    def on_error(self, reason: str) -> None:
        """Handle a response with an error of the worker."""

    @abc.abstractmethod
    def on_failure(
        self, call: Call, failure: ExchangeFailed, progress: AttemptProgress
    ) -> None:
        """Handle an exchange without a complete response."""

    @abc.abstractmethod
    def on_success(self, call: Call, duration_ms: int) -> None:
        """Handle a complete success."""
