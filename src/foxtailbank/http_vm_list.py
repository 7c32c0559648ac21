"""The platform's VM list over HTTP."""

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel
from foxtailbank.vm_list import Vm, VmList

OK = 200


class HttpVmList(VmList):
    """VM list that is reached over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_ms : int
        Bound on a whole exchange, in milliseconds.
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
            The platform gave no answer.
        """
        body = await read_platform(self._channel, "/vms", timeout_ms=self._timeout_ms)
        try:
            return msgspec.json.decode(body, type=tuple[Vm, ...])
        except msgspec.MsgspecError as error:
            raise exceptions.PlatformUnavailable(detail=str(error)) from error


async def read_platform(channel: HttpChannel, path: str, *, timeout_ms: int) -> bytes:
    """Return the content of one of the platform's resources.

    Parameters
    ----------
    channel : HttpChannel
        Connections to the platform.
    path : str
        Path of the resource.
    timeout_ms : int
        Bound on the whole exchange, in milliseconds.

    Raises
    ------
    PlatformUnavailable
        The platform gave no answer, or another than success.
    """
    try:
        answer = await channel.request("GET", path, timeout_ms=timeout_ms)
    except (exceptions.EndpointRefused, exceptions.EndpointFailed) as error:
        channel.drop_connections()
        raise exceptions.PlatformUnavailable(detail=error.detail) from error
    if answer.status != OK:
        raise exceptions.PlatformUnavailable(detail=f"status {answer.status}")
    return answer.body
