"""VM list obtained from another entry VM while the platform is unavailable."""

import typing as t

import msgspec

from foxtailbank import peer_messages as pm
from foxtailbank.exceptions import FoxtailbankError, NotFound, PlatformUnavailable
from foxtailbank.peering import Peering
from foxtailbank.vm_list import Vm, VmList

VM_LIST_REPORT = "vm_list"
REQUEST_TIMEOUT_MS = 1_000


class PeerVmList(VmList):
    """The platform's list, or a peer's list until the platform was read once.

    Parameters
    ----------
    platform : VmList
        The platform's list.
    peering : Peering
        The other entry VMs.
    """

    def __init__(self, *, platform: VmList, peering: Peering) -> None:
        self._platform = platform
        self._peering = peering
        self._latest: tuple[Vm, ...] | None = None

    async def read(self) -> tuple[Vm, ...]:
        """Return all listed VMs.

        Raises
        ------
        PlatformUnavailable
            The platform did not answer, and no peer provided a first list.
        """
        try:
            self._latest = await self._platform.read()
        except PlatformUnavailable:
            if self._latest is not None:
                raise
            self._latest = await self._read_from_peers()
            if self._latest is None:
                raise
        return self._latest

    def answer(self, name: str) -> pm.Report:
        """Return the latest list, for another VM.

        Raises
        ------
        NotFound
            No list was read yet, or a different report was requested.
        """
        if name != VM_LIST_REPORT or self._latest is None:
            raise NotFound(detail=f"no report {name}")
        return pm.Report(name=name, content=msgspec.json.encode(self._latest))

    async def _read_from_peers(self) -> tuple[Vm, ...] | None:
        request = pm.Report(name=VM_LIST_REPORT, content=b"")
        for peer in self._peering.live_peers():
            try:
                answer = await self._peering.client.request(
                    peer.vm_id, request, timeout_ms=REQUEST_TIMEOUT_MS
                )
            except FoxtailbankError:
                continue
            vms = _decode_vms(answer)
            if vms is not None:
                return vms
        return None


def _decode_vms(answer: t.Any) -> tuple[Vm, ...] | None:
    if not isinstance(answer, pm.Report):
        return None
    try:
        return msgspec.json.decode(answer.content, type=tuple[Vm, ...])
    except msgspec.MsgspecError:
        return None
