"""Checks that an engine's answer is whole and within bounds."""

import msgspec

from foxtailbank.endpoint import EndpointResponse
from foxtailbank.exceptions import EndpointFailed
from foxtailbank.response_limits import MAX_EVENT_BYTES, MAX_STREAM_BYTES
from foxtailbank.sse import TokenEventBuffer

FIRST_ERROR_STATUS = 400


def is_json_cut_off(response: EndpointResponse, body: bytes) -> bool:
    """Return whether the end of the connection cut a JSON answer short.

    Parameters
    ----------
    response : EndpointResponse
        The answer; one with a length or chunks is whole once it was read.
    body : bytes
        What was read of it.
    """
    if not response.ends_with_connection or response.status >= FIRST_ERROR_STATUS:
        return False
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return True
    return False


def check_stream_size(received_bytes: int) -> None:
    """Raise an error if a stream is too long.

    Parameters
    ----------
    received_bytes : int
        Size of the stream, with the part that its buffer does not hold yet.

    Raises
    ------
    EndpointFailed
        It is longer than its bound.
    """
    if received_bytes > MAX_STREAM_BYTES:
        raise EndpointFailed(detail=f"stream over {MAX_STREAM_BYTES} bytes")


def check_event_size(buffer: TokenEventBuffer) -> None:
    """Raise an error if the incomplete event of a stream is too long.

    Raises
    ------
    EndpointFailed
        It is longer than its bound.
    """
    if buffer.partial_bytes > MAX_EVENT_BYTES:
        raise EndpointFailed(detail=f"event over {MAX_EVENT_BYTES} bytes")
