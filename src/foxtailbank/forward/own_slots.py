"""Slots of this VM's batch items, for its online requests that find workers full.

Designed for the first moments of a burst: until other VMs know of it, a full worker
refuses request after request, while items of the same VM run there and elsewhere. One
of them makes way at once, with no message to anybody, and the request is sent to that
very worker, where it waits until the end of the item's connection is seen.
"""

import abc

from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.fleet.worker import Worker


class SlotGiver(abc.ABC):
    """What runs on workers and can make way."""

    @abc.abstractmethod
    def give(
        self,
        service: str,
        *,
        excluded: set[str],
        now_ms: int,
        origin: StreamOrigin | None = None,
    ) -> Worker | None:
        """Stop a run; return its worker, or None if nothing can make way.

        Parameters
        ----------
        service : str
            Service of the online request.
        excluded : set of str
            Ids of workers that the request must not be sent to.
        now_ms : int
            Current time.
        origin : StreamOrigin, optional
            Software that began the stream which the request continues.
        """


class OwnSlots:
    """Where requests find the giver of this VM, if there is one."""

    def __init__(self) -> None:
        self._giver: SlotGiver | None = None

    def set_giver(self, giver: SlotGiver) -> None:
        """Set what makes way from now on."""
        self._giver = giver

    def take(
        self,
        service: str,
        *,
        excluded: set[str],
        now_ms: int,
        origin: StreamOrigin | None = None,
    ) -> Worker | None:
        """Return the worker where a slot is being freed; see `SlotGiver.give`."""
        if self._giver is None:
            return None
        return self._giver.give(
            service, excluded=excluded, now_ms=now_ms, origin=origin
        )
