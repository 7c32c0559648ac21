"""Minimal proxy on hypercorn and httpx, the baseline for overhead measurements."""

import argparse
import functools
import typing as t

import anyio
import httpx

from foxtailbank.asgi import Receive, Scope, Send, read_body
from foxtailbank_bench.serving import run_program

MAX_BODY_BYTES = 1 << 22
HOST = "127.0.0.1"


class BareProxy:
    """Forwards each request to one address without any routing logic.

    Parameters
    ----------
    target : str
        Address of the endpoint.
    """

    def __init__(self, *, target: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{target}", trust_env=False, timeout=None
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, max_bytes=MAX_BODY_BYTES)
        headers = {"content-type": "application/json"}
        async with self._client.stream(
            scope["method"], scope["path"], content=body, headers=headers
        ) as response:
            await send(_response_start(response))
            async for chunk in response.aiter_raw():
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        await send({"type": "http.response.body", "body": b""})


def _response_start(response: httpx.Response) -> dict[str, t.Any]:
    content_type = response.headers.get("content-type", "application/json")
    return {
        "type": "http.response.start",
        "status": response.status_code,
        "headers": [(b"content-type", content_type.encode())],
    }


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", required=True, help="address of the endpoint")
    options = parser.parse_args()
    proxy = BareProxy(target=options.target)
    anyio.run(functools.partial(run_program, proxy, host=HOST, port=0))


if __name__ == "__main__":
    main()
