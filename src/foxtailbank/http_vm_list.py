"""HTTP client of the platform's VM list."""

from foxtailbank.http_platform import TIMEOUT_MS, HttpPlatformClient
from foxtailbank.vm_list import Vm, VmList


class HttpVmList(VmList):
    """VM list that is read over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_ms : int
        Bound on a request and its response, in milliseconds.
    """

    def __init__(self, *, address: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self._client = HttpPlatformClient(address=address, timeout_ms=timeout_ms)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self) -> tuple[Vm, ...]:
        """Return all listed VMs.

        Raises
        ------
        PlatformUnavailable
            The platform did not respond, or its response is invalid.
        """
        return await self._client.fetch("/vms", tuple[Vm, ...])
