"""Injectable faults of a relayed link."""

import enum

from foxtailbank_bench.faults import Faults


class LinkMode(enum.Enum):
    """How a link treats traffic.

    Attributes
    ----------
    PASS
        Forwards everything.
    CUT
        Resets open and new connections; drops datagrams.
    STALL
        Keeps connections open and discards all data. Connections open during the
        stall stay stalled after a return to PASS. Drops datagrams.
    MUTE
        Forwards data from clients and discards data to them. Connections open
        meanwhile stay muted after a return to PASS. Drops datagrams.
    REFUSE
        Resets open connections and refuses new ones; drops datagrams.
    """

    PASS = "pass"
    CUT = "cut"
    STALL = "stall"
    MUTE = "mute"
    REFUSE = "refuse"


class LinkFaults(Faults):
    """Change of a link's faults; omitted fields keep their value.

    Attributes
    ----------
    link : str
        Name of the link; all links if omitted.
    mode : LinkMode
        How the link treats traffic.
    delay_ms : int
        One-way delay of each chunk or datagram, in milliseconds.
    """

    link: str | None = None
    mode: LinkMode | None = None
    delay_ms: int | None = None
