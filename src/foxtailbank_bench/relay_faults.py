"""Faults of a relayed link."""

import enum

from foxtailbank_bench.faults import Faults


class LinkMode(enum.Enum):
    """What a link does with traffic.

    Attributes
    ----------
    PASS
        Passes it on.
    CUT
        Resets open connections and each new one; drops datagrams.
    STALL
        Keeps connections open and passes nothing; those open meanwhile stay
        silent for good, also after a return to PASS. Drops datagrams.
    MUTE
        Passes on what clients send and nothing of what comes back, for connections
        open meanwhile for good. Drops datagrams.
    REFUSE
        Resets open connections and refuses new ones; drops datagrams.
    """

    PASS = "pass"
    CUT = "cut"
    STALL = "stall"
    MUTE = "mute"
    REFUSE = "refuse"


class LinkFaults(Faults):
    """Change of a link; what is left out stays as it is.

    Attributes
    ----------
    link : str
        Name of the link; all links if it is left out.
    mode : LinkMode
        What the link does with traffic.
    delay_ms : int
        Delay of each piece of traffic one way, in milliseconds.
    """

    link: str | None = None
    mode: LinkMode | None = None
    delay_ms: int | None = None
