"""Components shared by all online requests of a VM."""

import dataclasses
import random

from foxtailbank.clock import Clock
from foxtailbank.customers.customer_gate import CustomerGate
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.own_slots import OwnSlots
from foxtailbank.forward.peer_relay import PeerRelay
from foxtailbank.forward.stop_gate import StopGate
from foxtailbank.forward.worker_client import WorkerClient
from foxtailbank.http1.body_memory import BodyMemory
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardContext:
    """Components that each request uses.

    Attributes
    ----------
    client : WorkerClient
        Connections to workers.
    fleet : FleetState
        State of the workers, on which placement is based.
    clock : Clock
        Source of time.
    logs : Logs
        Receives a line for each outcome.
    metrics : Metrics
        Receives counts and latencies.
    rng : random.Random
        Draws services and ``Retry-After`` times.
    pass_ms : int
        Upper limit of the deployment on the delay of a stream's event.
    gate : StopGate
        Whether requests may still be passed on.
    relay : PeerRelay or None
        Ways to the workers through other VMs, if there are any.
    customers : CustomerGate or None
        Checks the keys of requests; None where none bear any.
    answer_memory : BodyMemory or None
        Memory for the large bodies of answers; None if it is not bounded.
    own_slots : OwnSlots
        Slots of this VM's items, for requests that find workers full.
    """

    client: WorkerClient
    fleet: FleetState
    clock: Clock
    logs: Logs
    metrics: Metrics
    rng: random.Random
    pass_ms: int
    gate: StopGate
    relay: PeerRelay | None = None
    customers: CustomerGate | None = None
    answer_memory: BodyMemory | None = None
    own_slots: OwnSlots = dataclasses.field(default_factory=OwnSlots)
