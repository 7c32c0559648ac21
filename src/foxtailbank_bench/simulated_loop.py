"""Event loop in simulated time: it never sleeps, its clock moves to the next timer."""

import asyncio
import selectors
import typing as t

import anyio

from foxtailbank.clock import MS_PER_S, Clock

Result = t.TypeVar("Result")


class _NoWait(selectors.DefaultSelector):
    """Selector that moves the clock on instead of waiting."""

    now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += max(0.0, timeout or 0.0)
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._no_wait = _NoWait()
        super().__init__(self._no_wait)

    def time(self) -> float:
        return self._no_wait.now_s


class LoopClock(Clock):
    """Clock of the running event loop."""

    def now_ms(self) -> int:
        """Return the time since the loop's start in milliseconds."""
        return int(anyio.current_time() * MS_PER_S)

    def wall_ms(self) -> int:
        """Return the time since the loop's start in milliseconds."""
        return self.now_ms()


def run_simulated(main: t.Callable[[], t.Awaitable[Result]]) -> Result:
    """Run a coroutine function to its end in simulated time."""
    return anyio.run(main, backend_options={"loop_factory": _SimulatedLoop})
