"""How far a request is kept apart from others on an endpoint."""

import enum


class Isolation(enum.Enum):
    """What a request may share its endpoint with.

    Attributes
    ----------
    NONE
        Any request.
    SOLE_SUSPECT
        Any request that is not suspect.
    EXCLUSIVE
        No other request.
    REFUSED
        The request is quarantined and runs nowhere.
    """

    NONE = "none"
    SOLE_SUSPECT = "sole_suspect"
    EXCLUSIVE = "exclusive"
    REFUSED = "refused"
