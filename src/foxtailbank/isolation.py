"""Isolation of a request from other requests on an endpoint."""

import enum


class Isolation(enum.Enum):
    """Which requests may share the endpoint of a request.

    Attributes
    ----------
    NONE
        Any request.
    SOLE_SUSPECT
        Any request that is not suspected of crashing endpoints.
    EXCLUSIVE
        No other request.
    REFUSED
        The request is quarantined and must not run at all.
    """

    NONE = "none"
    SOLE_SUSPECT = "sole_suspect"
    EXCLUSIVE = "exclusive"
    REFUSED = "refused"
