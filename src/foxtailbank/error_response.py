"""Representation of failures in responses to callers."""

import math
import typing as t

import msgspec

from foxtailbank.asgi import Send, send_response
from foxtailbank.clock import MS_PER_S
from foxtailbank.exceptions import FoxtailbankError

JSON_CONTENT_TYPE = (b"content-type", b"application/json")


def error_body(failure: FoxtailbankError, *, request_id: str) -> dict[str, t.Any]:
    """Return the JSON body of a failure.

    Parameters
    ----------
    failure : FoxtailbankError
        Failure to report.
    request_id : str
        Identifier of the request.

    Returns
    -------
    dict
        ``{"error": {...}}`` in the format that clients of completion APIs expect.
    """
    error: dict[str, t.Any] = {
        "type": failure.kind,
        "message": failure.detail,
        "code": failure.code,
        "param": None,
        "ran": failure.ran.value,
        "request_id": request_id,
    }
    if failure.retry_after_ms:
        error["retry_after_ms"] = failure.retry_after_ms
    problems = getattr(failure, "problems", ())
    if problems:
        error["problems"] = [msgspec.to_builtins(problem) for problem in problems]
    return {"error": error}


def error_event(failure: FoxtailbankError, *, request_id: str) -> bytes:
    """Return a failure as a server-sent event, for a response already started."""
    body = msgspec.json.encode(error_body(failure, request_id=request_id))
    return b"data: " + body + b"\n\n"


async def send_error(send: Send, failure: FoxtailbankError, *, request_id: str) -> None:
    """Send a failure as a complete response.

    Parameters
    ----------
    send : Send
        ASGI callable that sends a message.
    failure : FoxtailbankError
        Failure to report.
    request_id : str
        Identifier of the request.
    """
    headers = [
        JSON_CONTENT_TYPE,
        (b"x-request-id", request_id.encode("latin-1", "replace")),
    ]
    if failure.retry_after_ms:
        seconds = math.ceil(failure.retry_after_ms / MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    body = msgspec.json.encode(error_body(failure, request_id=request_id))
    await send_response(send, status=failure.status, headers=headers, body=body)
