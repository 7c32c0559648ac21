"""Distinction between the crash of an endpoint and the failure of one request."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.endpoint import Endpoint
from foxtailbank.exceptions import EndpointFailed, EndpointRefused, EndpointStalled

MAX_CHECKS = 4
CHECK_INTERVAL_MS = 10


async def has_crashed(endpoint: Endpoint) -> bool:
    """Return whether an endpoint that broke off a request refuses connections.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    """
    # An exiting process closes its connections one after the other, so the first
    # checks may be broken off like the request.
    for _ in range(MAX_CHECKS):
        try:
            await endpoint.load()
        except EndpointRefused:
            return True
        except EndpointStalled:
            return False
        except EndpointFailed:
            await anyio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
        else:
            return False
    return False
