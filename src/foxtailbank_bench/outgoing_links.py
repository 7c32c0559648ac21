"""Redirects a process's outgoing traffic to relay links."""

import typing as t

import anyio
import anyio.abc

from foxtailbank.stream_backend import StreamBackend


def redirect_traffic(links_by_address: dict[str, str]) -> None:
    """Redirect this process's TCP connections and UDP datagrams to relay links.

    Patches anyio and the HTTP backend for the rest of the process's life.

    Parameters
    ----------
    links_by_address : dict of str to str
        Address of the link by target address; other targets are reached directly.
    """
    connect_tcp: t.Any = anyio.connect_tcp
    open_stream: t.Any = StreamBackend.connect_tcp
    send_datagram: t.Any = anyio.abc.UDPSocket.sendto

    def link_address(host: str, port: int) -> tuple[str, int]:
        target = f"{host}:{port}"
        link_host, _, link_port = links_by_address.get(target, target).rpartition(":")
        return link_host, int(link_port)

    async def connect(remote_host: str, remote_port: int, **options: t.Any) -> t.Any:
        return await connect_tcp(*link_address(remote_host, remote_port), **options)

    async def connect_http(
        self: t.Any, host: str, port: int, **options: t.Any
    ) -> t.Any:
        return await open_stream(self, *link_address(host, port), **options)

    async def sendto(self: t.Any, data: bytes, host: str, port: int) -> None:
        await send_datagram(self, data, *link_address(host, port))

    anyio.connect_tcp = t.cast(t.Any, connect)
    StreamBackend.connect_tcp = t.cast(t.Any, connect_http)  # type: ignore[method-assign]
    anyio.abc.UDPSocket.sendto = sendto  # type: ignore[method-assign]
