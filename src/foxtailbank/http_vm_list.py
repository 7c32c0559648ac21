"""HTTP client of the platform's VM list."""

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel
from foxtailbank.vm_list import Vm, VmList

STATUS_OK = 200


class HttpVmList(VmList):
    """VM list that is read over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_ms : int
        Bound on a request and its response, in milliseconds.
    """

    def __init__(self, *, address: str, timeout_ms: int = 3_000) -> None:
        self._channel = HttpChannel(address=address)
        self._timeout_ms = timeout_ms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    async def read(self) -> tuple[Vm, ...]:
        """Return all listed VMs.

        Raises
        ------
        PlatformUnavailable
            The platform did not respond, or its response is invalid.
        """
        body = await fetch_platform_resource(
            self._channel, "/vms", timeout_ms=self._timeout_ms
        )
        try:
            return msgspec.json.decode(body, type=tuple[Vm, ...])
        except msgspec.MsgspecError as error:
            raise exceptions.PlatformUnavailable(detail=str(error)) from error


async def fetch_platform_resource(
    channel: HttpChannel, path: str, *, timeout_ms: int
) -> bytes:
    """Fetch a resource of the platform.

    Parameters
    ----------
    channel : HttpChannel
        Connections to the platform.
    path : str
        Path of the resource.
    timeout_ms : int
        Bound on the request and its response, in milliseconds.

    Raises
    ------
    PlatformUnavailable
        The platform did not respond, or responded with an error.
    """
    try:
        response = await channel.request("GET", path, timeout_ms=timeout_ms)
    except (exceptions.EndpointRefused, exceptions.EndpointFailed) as error:
        channel.drop_connections()
        raise exceptions.PlatformUnavailable(detail=error.detail) from error
    if response.status != STATUS_OK:
        raise exceptions.PlatformUnavailable(detail=f"status {response.status}")
    return response.body
