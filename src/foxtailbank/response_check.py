"""Checks that an engine's answer is within bounds."""

from foxtailbank.exceptions import EndpointFailed
from foxtailbank.response_limits import MAX_EVENT_BYTES, MAX_STREAM_BYTES
from foxtailbank.sse import TokenEventBuffer


def check_stream_size(received_bytes: int, buffer: TokenEventBuffer) -> None:
    """Raise an error if a stream or its latest event is too long.

    Parameters
    ----------
    received_bytes : int
        Size of the stream so far.
    buffer : TokenEventBuffer
        Holds the incomplete event.

    Raises
    ------
    EndpointFailed
        It is longer than its bound.
    """
    if received_bytes > MAX_STREAM_BYTES:
        raise EndpointFailed(detail=f"stream over {MAX_STREAM_BYTES} bytes")
    if buffer.partial_bytes > MAX_EVENT_BYTES:
        raise EndpointFailed(detail=f"event over {MAX_EVENT_BYTES} bytes")
