"""Interfaces of model engines and other HTTP back ends."""

import abc
import contextlib
import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointCall:
    """One request to an endpoint.

    Attributes
    ----------
    request_id : str
        Correlates the call on every hop.
    method : str
        HTTP method.
    path : str
        Path and query, starting with a slash.
    headers : tuple of (str, str)
        Headers to pass on.
    body : bytes
        Request body, passed through unchanged.
    resume_at : int
        Index of the first token wanted; 0 for a new stream.
    fresh_connection : bool
        Whether the call must use a connection that no call used before.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    resume_at: int = 0
    fresh_connection: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load reported by an engine; it may be out of date.

    Attributes
    ----------
    age_ms : int
        Age of the report in milliseconds.
    running : int
        Streams in the running batch.
    waiting : int
        Admitted requests that wait for a slot.
    max_running : int
        Maximum streams that the engine runs at once.
    step_ms : float
        Duration of the latest step, in milliseconds.
    draining : bool
        Whether the engine is being drained.
    """

    age_ms: int
    running: int
    waiting: int
    max_running: int
    step_ms: float
    draining: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """One change to an engine's prefix cache.

    Attributes
    ----------
    sequence : int
        Sequence number of the event; a gap means lost events.
    prefix : str
        Digest of the prompt prefix.
    stored : bool
        True when stored, False when evicted.
    """

    sequence: int
    prefix: str
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """Order that changes what an engine has loaded, or its role.

    Attributes
    ----------
    fence : int
        Fencing number of the sender.
    kind : str
        ``load_model``, ``unload_model``, ``load_adapter`` or ``set_role``.
    target : str
        Name of the model, adapter or role.
    version : str
        Version of the model or adapter; empty for a role.
    """

    fence: int
    kind: str
    target: str
    version: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """Loaded models, adapters and role, as reported by an engine.

    Attributes
    ----------
    fence : int
        Highest fencing number seen; 0 on engines that ignore it.
    models : tuple of (str, str)
        Loaded models with their versions.
    adapters : tuple of (str, str)
        Loaded adapters with their versions.
    role : str
        Current role.
    busy : bool
        Whether the engine is still executing an order.
    """

    fence: int
    models: tuple[tuple[str, str], ...]
    adapters: tuple[tuple[str, str], ...]
    role: str
    busy: bool


class EndpointResponse(abc.ABC):
    """Response of an endpoint, streamed as it arrives.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Response headers.
    ends_with_connection : bool
        Whether neither a length nor chunks mark the end of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    ends_with_connection: bool = False

    @abc.abstractmethod
    def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        EndpointFailed
            The connection broke or stalled before the end of the response.
        """


class PlainService(abc.ABC):
    """A back end that serves HTTP requests."""

    @abc.abstractmethod
    def open(
        self, call: EndpointCall
    ) -> contextlib.AbstractAsyncContextManager[EndpointResponse]:
        """Send a call and enter with its response once status and headers arrived.

        Parameters
        ----------
        call : EndpointCall
            The request.

        Raises
        ------
        EndpointRefused
            No byte of the request reached the endpoint, or it rejected the request
            before running it.
        EndpointFailed
            The request may have run.
        """

    @abc.abstractmethod
    async def is_leaving(self) -> bool:
        """Return whether the back end reports that it is leaving.

        Raises
        ------
        EndpointRefused
            No connection could be made.
        EndpointFailed
            No answer arrived.
        """


class Endpoint(PlainService):
    """A model engine."""

    @abc.abstractmethod
    async def cancel(self, *, request_id: str) -> None:
        """Stop a stream."""

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the latest load report.

        Raises
        ------
        EndpointFailed
            No answer arrived.
        """

    @abc.abstractmethod
    async def cache_events(self, *, since: int) -> tuple[CacheEvent, ...]:
        """Return cache events after a sequence number."""

    @abc.abstractmethod
    async def order(self, order: Order) -> None:
        """Send an order.

        Raises
        ------
        EndpointRefused
            The fencing number is stale, or the engine is busy.
        EndpointFailed
            No answer arrived; the engine may still execute the order.
        """

    @abc.abstractmethod
    async def state(self) -> EngineState:
        """Return the loaded models, adapters and role."""

    @abc.abstractmethod
    async def export_kv(self, *, prefix: str) -> bytes:
        """Return the KV cache of a prefix; empty if it is not cached."""

    @abc.abstractmethod
    async def import_kv(self, *, prefix: str, content: bytes) -> None:
        """Store the KV cache of a prefix."""
