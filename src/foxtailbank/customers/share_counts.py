"""Requests in flight by customer, from this VM and the other entry VMs.

Meant for shares that hold over many VMs: what a VM has sent itself is exact, what the
others have sent is as old as their load reports.
"""

import collections
import contextlib
import copy
import dataclasses
import functools
import typing as t

import xxhash

from foxtailbank.fleet.load_table import LoadKind

MAX_REPORTED = 16  # of a VM; few have requests of more customers in flight at once
KEY_CACHE_SIZE = 4_096  # pairs of customer and service
BATCH_POOL = ""  # in place of a service; items are counted over all services


@dataclasses.dataclass(frozen=True, kw_only=True)
class CustomerLoad:
    """Requests of one customer that one VM has in flight.

    Attributes
    ----------
    key : int
        Digest of the customer and the service; see `customer_key`.
    online, batch : int
        Requests of each class.
    """

    key: int
    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Requests of both classes."""
        return self.online + self.batch


@functools.lru_cache(maxsize=KEY_CACHE_SIZE)
def customer_key(*, service: str, name: str) -> int:
    """Return the digest, of 32 bits, under which a customer's requests are counted."""
    return xxhash.xxh32_intdigest(f"{service}/{name}")


class CustomerLoads:
    """Sums the requests in flight by customer and service."""

    def __init__(self) -> None:
        self._own_by_key: dict[int, CustomerLoad] = {}
        self._loads_by_vm: dict[str, tuple[CustomerLoad, ...]] = {}
        self._received_ms_by_vm: dict[str, int] = {}
        self._peer_online: collections.Counter[int] = collections.Counter()
        self._peer_batch: collections.Counter[int] = collections.Counter()
        self._peers_with_online: collections.Counter[int] = collections.Counter()

    def start(self, key: int, kind: LoadKind) -> None:
        """Count a request of this VM."""
        self._add_own(key, kind, 1)

    def end(self, key: int, kind: LoadKind) -> None:
        """Remove a request of this VM from the count."""
        self._add_own(key, kind, -1)

    def fork(self) -> "CustomerLoads":
        """Return a copy whose own counts may be changed."""
        fork = copy.copy(self)
        fork._own_by_key = dict(self._own_by_key)
        return fork

    @contextlib.contextmanager
    def counting(self, service: str, name: str) -> t.Iterator[None]:
        """Count an online request while it waits for a slot.

        Requests that wait are as much a customer's demand as those that run.

        Parameters
        ----------
        service : str
            Service that it waits for.
        name : str
            Its customer; empty without a key, then nothing is counted.
        """
        if not name:
            yield
            return
        key = customer_key(service=service, name=name)
        self.start(key, LoadKind.ONLINE)
        try:
            yield
        finally:
            self.end(key, LoadKind.ONLINE)

    def on_report(
        self, vm_id: str, loads: tuple[CustomerLoad, ...], now_ms: int
    ) -> None:
        """Replace the counts of another VM by those in its newest report."""
        if not loads and vm_id not in self._loads_by_vm:
            return  # it knows of no customers, or has no requests of theirs
        if loads != self._loads_by_vm.get(vm_id):
            self.forget_vm(vm_id)
            self._loads_by_vm[vm_id] = loads
            self._add_peer(loads, 1)
        self._received_ms_by_vm[vm_id] = now_ms

    def forget_vm(self, vm_id: str) -> None:
        """Drop the counts of a VM that is silent."""
        self._received_ms_by_vm.pop(vm_id, None)
        self._add_peer(self._loads_by_vm.pop(vm_id, ()), -1)

    def online(self, key: int) -> int:
        """Return the online requests of all VMs in flight."""
        return self._peer_online[key] + self.own_online(key)

    def own_online(self, key: int) -> int:
        """Return the online requests of this VM in flight."""
        own = self._own_by_key.get(key)
        return own.online if own is not None else 0

    def vm_count(self, key: int) -> int:
        """Return the number of VMs that have online requests in flight, at least 1."""
        return max(1, self._peers_with_online[key] + bool(self.own_online(key)))

    def batch(self, key: int) -> int:
        """Return the batch items of all VMs in flight."""
        own = self._own_by_key.get(key)
        return self._peer_batch[key] + (own.batch if own is not None else 0)

    def reports(self) -> tuple[CustomerLoad, ...]:
        """Return this VM's counts for its report, the largest `MAX_REPORTED`."""
        loads = sorted(self._own_by_key.values(), key=lambda load: -load.total)
        return tuple(loads[:MAX_REPORTED])

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the oldest report that counts; 0 without any."""
        return now_ms - min(self._received_ms_by_vm.values(), default=now_ms)

    def _add_own(self, key: int, kind: LoadKind, delta: int) -> None:
        load = self._own_by_key.get(key, CustomerLoad(key=key))
        if kind is LoadKind.ONLINE:
            load = dataclasses.replace(load, online=load.online + delta)
        else:
            load = dataclasses.replace(load, batch=load.batch + delta)
        if load.total:
            self._own_by_key[key] = load
        else:
            self._own_by_key.pop(key, None)

    def _add_peer(self, loads: t.Iterable[CustomerLoad], sign: int) -> None:
        for load in loads:
            self._peer_online[load.key] += sign * load.online
            self._peer_batch[load.key] += sign * load.batch
            self._peers_with_online[load.key] += sign * bool(load.online)
            if not self._peers_with_online[load.key]:
                del self._peers_with_online[load.key]
            if not self._peer_online[load.key] and not self._peer_batch[load.key]:
                del self._peer_online[load.key]
                del self._peer_batch[load.key]
