"""Workers as the platform lists them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """One run of a worker's process.

    Attributes
    ----------
    worker_id : str
        Identity of this run.
    service : str
        Service that it belongs to.
    address : str
        IP number and port.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs at once.
    draining : bool
        Whether it is leaving and takes no new work.
    born_wall_ms : int
        Start of the process, in wall milliseconds; 0 if unknown.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born_wall_ms: int = 0
