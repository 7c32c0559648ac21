"""Responses with a JSON body."""

import typing as t

import msgspec
from starlette.responses import Response

JSON = "application/json"


def json_response(content: t.Any, *, status: int = 200) -> Response:
    """Return a response with a JSON body.

    Parameters
    ----------
    content : object
        Any object that msgspec can encode.
    status : int
        HTTP status.
    """
    return Response(msgspec.json.encode(content), status_code=status, media_type=JSON)
