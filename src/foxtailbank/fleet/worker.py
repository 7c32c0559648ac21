"""Workers as the platform lists them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """One process of a worker.

    Attributes
    ----------
    worker_id : str
        Identifies this process.
    service : str
        Service that it belongs to.
    address : str
        IP address and port.
    zone : str
        Availability zone.
    slots : int
        Number of requests that it can run concurrently.
    draining : bool
        Whether it is shutting down and accepts no new requests.
    started_wall_ms : int
        Start of the process, in milliseconds of wall clock; 0 if unknown.
    software_version : str
        Version of its software, not of the model's weights; empty if unknown.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    started_wall_ms: int = 0
    software_version: str = ""

    @property
    def process_id(self) -> str:
        """Identifies this process, also if a later one has the same `worker_id`."""
        return f"{self.worker_id}/{self.started_wall_ms}"
