"""Interface of the client that sends requests to workers."""

import abc
import contextlib

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.call import Call
from foxtailbank.headers import Headers
from foxtailbank.http1.body_source import BodyFraming, BodySource


class ReservationRefused(FoxtailbankError):
    """The worker has no free slot to reserve.

    Parameters
    ----------
    detail : str
        What it answered.
    draining : bool
        Whether it says that it is shutting down.
    """

    code = "place_refused"

    def __init__(self, *, detail: str = "", draining: bool = False) -> None:
        super().__init__(detail=detail)
        self.draining = draining


class WorkerResponse(BodySource):
    """A response whose head has arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers for the client, including the worker's proof of origin.
    not_run : bool
        Whether the response states that the request was not run.
    misdirected : bool
        Whether the address now belongs to another worker.
    framing : BodyFraming
        What marks the end of the body.
    rate_limit_per_s : float or None
        Requests a second that the worker takes from all VMs together; None if it names
        no limit.
    draining : bool or None
        Whether the worker says that it is shutting down; None if what it says of it
        is not valid.
    """

    status: int
    headers: Headers
    not_run: bool
    misdirected: bool
    framing: BodyFraming
    rate_limit_per_s: float | None = None
    draining: bool | None = False

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class WorkerClient(abc.ABC):
    """Sends requests to workers."""

    @abc.abstractmethod
    def prompt_parts(self, headers: Headers) -> tuple[int, ...]:
        """Return digests of a prompt's parts that other requests may share, in order.

        Parameters
        ----------
        headers : tuple of (str, str)
            Headers of the request.
        """

    @abc.abstractmethod
    def exchange(
        self,
        worker: Worker,
        call: Call,
        *,
        remaining_ms: int,
        head_timeout_ms: float,
        resume_after: str,
        reservation: str = "",
    ) -> contextlib.AbstractAsyncContextManager[WorkerResponse]:
        """Send a request and yield the response once its head has arrived.

        Leaving the context before the end of the response closes the connection, by
        which the worker notices that no one waits for the response.

        Parameters
        ----------
        worker : Worker
            Destination.
        call : Call
            Request to send.
        remaining_ms : int
            Remaining time to state to the worker; 0 to state none.
        head_timeout_ms : float
            Timeout for the response head.
        resume_after : str
            Id of the last event that was received; empty for none.
        reservation : str
            Id returned by `reserve`; empty for none.

        Raises
        ------
        NotConnected
            Nothing was sent.
        ExchangeFailed
            The request may have run.
        """

    @abc.abstractmethod
    async def probe(self, worker: Worker) -> None:
        """Open a connection to a worker and send nothing.

        Raises
        ------
        ExchangeFailed
            The worker does not accept a connection, or closes it at once.
        """

    @abc.abstractmethod
    async def reserve(
        self, worker: Worker, *, tokens: int, lifetime_ms: int, timeout_ms: int
    ) -> str:
        """Reserve a slot for one request and return the reservation's id.

        Parameters
        ----------
        worker : Worker
            Worker to ask.
        tokens : int
            Tokens for which the request needs memory.
        lifetime_ms : int
            Time after which an unused reservation expires.
        timeout_ms : int
            Timeout for the response.

        Raises
        ------
        ReservationRefused
            No slot is free.
        ExchangeFailed
            The worker could not be reached or did not respond properly.
        """
