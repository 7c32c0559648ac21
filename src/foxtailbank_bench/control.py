"""Client of the stand-ins' control API, for tests and experiments."""

import typing as t

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel
from foxtailbank.vm_list import Vm
from foxtailbank_bench.journal import JournalEntry
from foxtailbank_bench.platform_stats import PlatformStats

FIRST_ERROR_STATUS = 400
TIMEOUT_MS = 10_000


class StandInControl:
    """Client of one running stand-in's control API.

    Parameters
    ----------
    address : str
        IP number and port of the stand-in.
    """

    def __init__(self, *, address: str) -> None:
        self._channel = HttpChannel(address=address)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    async def set_faults(self, **faults: t.Any) -> None:
        """Change faults; the names are the fields of the stand-in's fault struct.

        Raises
        ------
        EndpointFailed
            The stand-in refused the change or did not respond.
        """
        body = msgspec.json.encode(faults)
        await self._request("POST", "/control/faults", body)

    async def journal(self, *, since: int = 0) -> list[JournalEntry]:
        """Return the requests that reached the stand-in, in order of arrival.

        Parameters
        ----------
        since : int
            Number of entries to skip from the start.
        """
        body = await self._request("GET", f"/control/journal?since={since}")
        return [
            msgspec.json.decode(line, type=JournalEntry) for line in body.splitlines()
        ]

    async def platform_stats(self) -> PlatformStats:
        """Return the usage counters of a platform stand-in."""
        body = await self._request("GET", "/control/stats")
        return msgspec.json.decode(body, type=PlatformStats)

    async def links(self) -> dict[str, str]:
        """Return the addresses of a relay's links, by name."""
        body = await self._request("GET", "/control/links")
        return msgspec.json.decode(body, type=dict[str, str])

    async def put_vm(self, vm: Vm) -> None:
        """Add or replace a VM in a platform stand-in's list."""
        await self._request("PUT", f"/vms/{vm.vm_id}", msgspec.json.encode(vm))

    async def delete_vm(self, vm_id: str) -> None:
        """Remove a VM from a platform stand-in's list."""
        await self._request("DELETE", f"/vms/{vm_id}")

    async def _request(self, method: str, path: str, body: bytes = b"") -> bytes:
        response = await self._channel.request(
            method, path, content=body, timeout_ms=TIMEOUT_MS
        )
        if response.status >= FIRST_ERROR_STATUS:
            detail = response.body.decode("utf-8", "replace")
            raise exceptions.EndpointFailed(detail=detail)
        return response.body
