"""Orders to the engine stand-in, and the models it has loaded."""

import anyio
import anyio.abc

from foxtailbank import exceptions
from foxtailbank.clock import MS_PER_S
from foxtailbank.endpoint import EngineState, Order
from foxtailbank.http_channel import HttpChannel

OK = 200
WEIGHTS_READ_TIMEOUT_MS = 600_000
ROLE_CHANGE_MS = 20
DEFAULT_ROLE = "mixed"


class OrderRefused(Exception):
    """The order has a stale fencing number, or another order is running."""


class EngineOrders:
    """Executes one order at a time.

    Parameters
    ----------
    models : tuple of (str, str)
        Names and versions of the models loaded at startup.
    check_fence : bool
        Whether orders with a stale fencing number are refused.
    weights_address : str
        Address of the weight store; if empty, weights are not read.
    load_ms : int
        Duration of a load after the weights were read, in milliseconds.
    """

    def __init__(
        self,
        *,
        models: tuple[tuple[str, str], ...],
        check_fence: bool,
        weights_address: str,
        load_ms: int,
    ) -> None:
        self._versions_by_model = dict(models)
        self._versions_by_adapter: dict[str, str] = {}
        self._role = DEFAULT_ROLE
        self._check_fence = check_fence
        self._fence = 0
        self._busy = False
        self._load_ms = load_ms
        self._weight_store = (
            HttpChannel(address=weights_address) if weights_address else None
        )
        self._order_accepted = anyio.Event()
        self._pending: list[Order] = []

    def is_loaded(self, model: str) -> bool:
        """Return whether a model or adapter of this name is loaded."""
        return model in self._versions_by_model or model in self._versions_by_adapter

    def loaded_names(self) -> tuple[str, ...]:
        """Return the names of all loaded models and adapters."""
        return (*self._versions_by_model, *self._versions_by_adapter)

    def state(self) -> EngineState:
        """Return the loaded models, the role and the order status."""
        return EngineState(
            fence=self._fence if self._check_fence else 0,
            models=tuple(self._versions_by_model.items()),
            adapters=tuple(self._versions_by_adapter.items()),
            role=self._role,
            busy=self._busy,
        )

    def submit(self, order: Order) -> None:
        """Accept an order, which `run` executes.

        Parameters
        ----------
        order : Order
            Order to execute.

        Raises
        ------
        OrderRefused
            Its fencing number is stale, or another order is running.
        """
        if self._check_fence and order.fence < self._fence:
            raise OrderRefused("stale_fence")
        if self._busy:
            raise OrderRefused("busy")
        self._fence = max(self._fence, order.fence)
        self._busy = True
        self._pending.append(order)
        self._order_accepted.set()

    async def run(self) -> None:
        """Execute orders until cancelled, and close the channel to the store then."""
        try:
            while True:
                await self._order_accepted.wait()
                self._order_accepted = anyio.Event()
                while self._pending:
                    await self._execute(self._pending.pop(0))
                self._busy = False
        finally:
            if self._weight_store is not None:
                with anyio.CancelScope(shield=True):
                    await self._weight_store.aclose()

    async def _execute(self, order: Order) -> None:
        match order.kind:
            case "load_model":
                if await self._load(order):
                    self._versions_by_model[order.target] = order.version
            case "load_adapter":
                if await self._load(order):
                    self._versions_by_adapter[order.target] = order.version
            case "unload_model":
                self._versions_by_model.pop(order.target, None)
                self._versions_by_adapter.pop(order.target, None)
            case "set_role":
                await anyio.sleep(ROLE_CHANGE_MS / MS_PER_S)
                self._role = order.target

    async def _load(self, order: Order) -> bool:
        if self._weight_store is not None and not await self._read_weights(order):
            return False
        await anyio.sleep(self._load_ms / MS_PER_S)
        return True

    async def _read_weights(self, order: Order) -> bool:
        assert self._weight_store is not None
        path = f"/weights/{order.target}/{order.version}/reads"
        try:
            response = await self._weight_store.request(
                "POST", path, timeout_ms=WEIGHTS_READ_TIMEOUT_MS
            )
        except (exceptions.EndpointRefused, exceptions.EndpointFailed):
            return False
        return response.status == OK
