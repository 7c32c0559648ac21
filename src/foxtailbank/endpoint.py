"""Model engines, as the system sees them."""

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
        Content, passed through.
    resume_at : int
        Index of the first token wanted; 0 for a new stream.
    fresh : bool
        Whether the call must use a connection that no call used before.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    resume_at: int = 0
    fresh: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """What an engine says of its load; it lags.

    Attributes
    ----------
    age_ms : int
        How old the report is, in milliseconds.
    running : int
        Streams in the running batch.
    waiting : int
        Admitted requests that wait for a place.
    max_running : int
        Most streams that the engine runs at once.
    step_ms : float
        Duration of the latest step, in milliseconds.
    draining : bool
        Whether the engine is leaving.
    """

    age_ms: int
    running: int
    waiting: int
    max_running: int
    step_ms: float
    draining: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    Attributes
    ----------
    sequence : int
        Number of the event; gaps mean lost events.
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
    """Order to an engine.

    Attributes
    ----------
    fence : int
        Fencing number.
    kind : str
        ``load_model``, ``unload_model``, ``load_adapter`` or ``set_role``.
    target : str
        Model, adapter or role.
    version : str
        Version of the model or adapter; empty for a role.
    """

    fence: int
    kind: str
    target: str
    version: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """What an engine holds, read back.

    Attributes
    ----------
    fence : int
        Highest fencing number seen; 0 on engines that ignore it.
    models : tuple of (str, str)
        Loaded models with their versions.
    adapters : tuple of (str, str)
        Loaded adapters with their versions.
    role : str
        Present role.
    busy : bool
        Whether an order is being carried out.
    """

    fence: int
    models: tuple[tuple[str, str], ...]
    adapters: tuple[tuple[str, str], ...]
    role: str
    busy: bool


class Answer(abc.ABC):
    """Answer of an endpoint while it arrives.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers of the answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    @abc.abstractmethod
    def chunks(self) -> t.AsyncIterator[bytes]:
        """Yield content as it arrives.

        Raises
        ------
        EndpointFailed
            The connection broke or went silent before the answer's end.
        """


class PlainService(abc.ABC):
    """A back end that answers HTTP requests."""

    @abc.abstractmethod
    def open(
        self, call: EndpointCall
    ) -> contextlib.AbstractAsyncContextManager[Answer]:
        """Send a call and give its answer once the head has arrived.

        Parameters
        ----------
        call : EndpointCall
            The request.

        Raises
        ------
        EndpointRefused
            No byte of the request reached the endpoint, or it did not admit it.
        EndpointFailed
            The request may have run.
        """

    @abc.abstractmethod
    async def is_leaving(self) -> bool:
        """Return whether the back end says that it is leaving.

        Raises
        ------
        EndpointRefused
            No connection could be made.
        EndpointFailed
            It gave no answer.
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
            The engine gave no answer.
        """

    @abc.abstractmethod
    async def cache_events(self, *, since: int) -> tuple[CacheEvent, ...]:
        """Return cache events after a sequence number."""

    @abc.abstractmethod
    async def order(self, order: Order) -> None:
        """Give an order.

        Raises
        ------
        EndpointRefused
            The engine refused the fencing number, or is busy.
        EndpointFailed
            No answer came; the order may be carried out.
        """

    @abc.abstractmethod
    async def state(self) -> EngineState:
        """Return what the engine holds."""

    @abc.abstractmethod
    async def export_kv(self, *, prefix: str) -> bytes:
        """Return the KV cache of a prefix; empty if it is not held."""

    @abc.abstractmethod
    async def import_kv(self, *, prefix: str, content: bytes) -> None:
        """Store the KV cache of a prefix."""
