"""HTTP client of the platform's JSON resources."""

import typing as t

import msgspec

from foxtailbank import exceptions
from foxtailbank.http_channel import HttpChannel

STATUS_OK = 200
TIMEOUT_MS = 3_000

T = t.TypeVar("T")


class HttpPlatformClient:
    """Reads resources of the platform over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_ms : int
        Bound on a request and its response, in milliseconds.
    """

    def __init__(self, *, address: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self._channel = HttpChannel(address=address)
        self._timeout_ms = timeout_ms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._channel.aclose()

    async def fetch(self, path: str, kind: type[T]) -> T:
        """Fetch and decode a resource.

        Parameters
        ----------
        path : str
            Path of the resource.
        kind : type
            Type to which its JSON is decoded.

        Raises
        ------
        PlatformUnavailable
            The platform did not respond, or its response is an error or invalid.
        """
        body = await self._fetch_body(path)
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise exceptions.PlatformUnavailable(detail=str(error)) from error

    async def _fetch_body(self, path: str) -> bytes:
        try:
            response = await self._channel.request(
                "GET", path, timeout_ms=self._timeout_ms
            )
        except (exceptions.EndpointRefused, exceptions.EndpointFailed) as error:
            self._channel.drop_connections()
            raise exceptions.PlatformUnavailable(detail=error.detail) from error
        if response.status != STATUS_OK:
            raise exceptions.PlatformUnavailable(detail=f"status {response.status}")
        return response.body
