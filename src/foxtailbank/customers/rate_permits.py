"""Permits that one VM holds for one customer, and how many it needs."""

import collections
import dataclasses
import itertools

from foxtailbank.customers.rate_messages import MAX_UNUSED, UnusedPermits


@dataclasses.dataclass(frozen=True, kw_only=True)
class Permit:
    """Lets one request of a customer pass.

    Attributes
    ----------
    customer : str
        Name of the customer.
    granting_vm : str
        VM that granted it; empty if it is of this VM's guaranteed part.
    number : int
        Number of the request for permits that brought it.
    expires_ms : int
        Last moment of its use.
    """

    customer: str
    granting_vm: str
    number: int
    expires_ms: int


class PermitStock:
    """Permits that were granted and are not used yet; the oldest goes first."""

    def __init__(self) -> None:
        self._permits: collections.deque[Permit] = collections.deque()
        self._unused_by_vm: dict[str, collections.Counter[int]] = {}

    def add(self, permit: Permit, count: int) -> None:
        """Add granted permits."""
        self._permits.extend([permit] * count)

    def take(self, now_ms: int) -> Permit | None:
        """Take a permit that may be used now; None if there is none."""
        self._expire(now_ms)
        return self._permits.popleft() if self._permits else None

    def count(self, now_ms: int) -> int:
        """Return how many permits may be used now; no effect."""
        expired = itertools.takewhile(
            lambda permit: permit.expires_ms < now_ms, self._permits
        )
        return len(self._permits) - sum(1 for _ in expired)

    def give_back(self, permit: Permit, now_ms: int) -> None:
        """Put a permit back whose request did not run."""
        self._permits.appendleft(permit)
        self._expire(now_ms)

    def take_unused(self, vm_id: str, now_ms: int) -> tuple[UnusedPermits, ...]:
        """Return, once, the permits of a VM that expired."""
        self._expire(now_ms)
        counts = self._unused_by_vm.pop(vm_id, collections.Counter())
        return tuple(
            UnusedPermits(number=number, count=count)
            for number, count in counts.items()
        )

    def _expire(self, now_ms: int) -> None:
        while self._permits and self._permits[0].expires_ms < now_ms:
            permit = self._permits.popleft()
            counts = self._unused_by_vm.setdefault(
                permit.granting_vm, collections.Counter()
            )
            counts[permit.number] += 1
            if len(counts) > MAX_UNUSED:
                del counts[min(counts)]


class RequestRate:
    """Counts events of about the last moments.

    Parameters
    ----------
    window_ms : int
        How long an event counts.
    """

    def __init__(self, *, window_ms: int) -> None:
        self._window_ms = window_ms
        self._window = 0
        self._count = 0
        self._last_count = 0

    def add(self, now_ms: int, count: int = 1) -> None:
        """Count events."""
        self._advance(now_ms)
        self._count += count

    def estimate(self, now_ms: int) -> float:
        """Return the events of the last `window_ms`."""
        self._advance(now_ms)
        rest = 1 - (now_ms % self._window_ms) / self._window_ms
        return self._count + rest * self._last_count

    def _advance(self, now_ms: int) -> None:
        window = now_ms // self._window_ms
        if window != self._window:
            is_next = window == self._window + 1
            self._last_count = self._count if is_next else 0
            self._count = 0
            self._window = window
