"""What the core asks of a connection to workers."""

import abc
import contextlib

from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.call import Call
from foxtailbank.headers import Headers
from foxtailbank.http1.body_source import BodySource


class PlaceRefused(FoxtailbankError):
    """The worker has no free place to reserve."""

    code = "place_refused"


class WorkerAnswer(BodySource):
    """An answer whose head has arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers for the client, with the worker's proof of origin.
    not_run : bool
        Whether the worker states that it did not run the request.
    misdirected : bool
        Whether another worker has the address now.
    """

    status: int
    headers: Headers
    not_run: bool
    misdirected: bool

    @property
    def is_success(self) -> bool:
        """Whether the worker answered with success."""
        return 200 <= self.status < 300


class WorkerClient(abc.ABC):
    """Sends requests to workers."""

    @abc.abstractmethod
    def exchange(
        self,
        worker: Worker,
        call: Call,
        *,
        left_ms: int,
        head_timeout_ms: float,
        resume_after: str,
        reservation: str = "",
    ) -> contextlib.AbstractAsyncContextManager[WorkerAnswer]:
        """Send a request and give the answer once its head has arrived.

        The connection is closed at once when the context is left before the end
        of the answer, by which workers notice that nobody waits any more.

        Parameters
        ----------
        worker : Worker
            Where to.
        call : Call
            What to send.
        left_ms : int
            Time left for the run; 0 to state none.
        head_timeout_ms : float
            Bound on the wait for the head, in milliseconds.
        resume_after : str
            Id of the last event that is there already; empty for none.
        reservation : str
            What `reserve` returned; empty for none.

        Raises
        ------
        NotConnected
            Nothing was sent.
        ExchangeFailed
            The request may have run.
        """

    @abc.abstractmethod
    async def reserve(
        self, worker: Worker, *, tokens: int, life_ms: int, timeout_ms: int
    ) -> str:
        """Reserve a place for one request and return the reservation's id.

        Parameters
        ----------
        worker : Worker
            Where.
        tokens : int
            Memory that the request needs.
        life_ms : int
            Time after which an unused reservation lapses.
        timeout_ms : int
            Bound on the wait for the answer.

        Raises
        ------
        PlaceRefused
            No place is free.
        ExchangeFailed
            The worker could not be asked.
        """
