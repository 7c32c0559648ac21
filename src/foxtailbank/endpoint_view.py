"""Snapshot of an endpoint on which routing decisions are based."""

import dataclasses

from foxtailbank.breaker import BreakerState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointView:
    """State of one endpoint as known to this VM.

    Attributes
    ----------
    endpoint_id : str
        Name, unique in the fleet.
    zone : str
        Availability zone.
    pool : str
        Model or service that the endpoint serves.
    online_in_flight : int
        Online requests that this VM has in flight on the endpoint.
    batch_in_flight : int
        Batch streams on the endpoint, of any VM.
    reported_load : int
        Online streams of other VMs, estimated from the latest load report.
    health : BreakerState
        State of its circuit breaker.
    draining : bool
        Whether it is leaving, according to any source.
    suspect : bool
        Whether a request suspected of crashing endpoints runs on it.
    reserved : bool
        Whether it is reserved for a request that must run exclusively.
    """

    endpoint_id: str
    zone: str = ""
    pool: str = ""
    online_in_flight: int = 0
    batch_in_flight: int = 0
    reported_load: int = 0
    health: BreakerState = BreakerState.CLOSED
    draining: bool = False
    suspect: bool = False
    reserved: bool = False

    @property
    def load(self) -> int:
        """Online streams; batch streams can be preempted and do not count."""
        return self.online_in_flight + self.reported_load

    @property
    def is_idle(self) -> bool:
        """Whether nothing is known to run on the endpoint."""
        return self.load == 0 and self.batch_in_flight == 0 and not self.suspect
