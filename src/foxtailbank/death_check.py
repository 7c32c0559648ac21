"""Tells the death of an endpoint from the failure of one request."""

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.endpoint import Endpoint
from foxtailbank.exceptions import EndpointFailed, EndpointRefused, EndpointStalled

CHECKS = 4
PAUSE_MS = 10


async def has_died(endpoint: Endpoint) -> bool:
    """Return whether an endpoint that broke off a request accepts no connection.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    """
    # While a process ends, its connections are closed one by one, so the first
    # checks may break as the request did.
    for _ in range(CHECKS):
        try:
            await endpoint.load()
        except EndpointRefused:
            return True
        except EndpointStalled:
            return False
        except EndpointFailed:
            await anyio.sleep(PAUSE_MS / MS_PER_S)
        else:
            return False
    return False
