"""What all online requests of a VM share."""

import dataclasses
import random

from foxtailbank.clock import Clock
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.worker_client import WorkerClient
from foxtailbank.logs import Logs
from foxtailbank.metrics import Metrics


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardTools:
    """Parts that serve each request.

    Attributes
    ----------
    client : WorkerClient
        Connections to workers.
    fleet : FleetState
        Workers, loads and marks that the decisions rest on.
    clock : Clock
        Source of time.
    logs : Logs
        Takes a line for each outcome.
    metrics : Metrics
        Takes counts and latencies.
    rng : random.Random
        Spreads choices and times to come back.
    pass_ms : int
        Longest time in which the deployment wants a stream's event passed on.
    """

    client: WorkerClient
    fleet: FleetState
    clock: Clock
    logs: Logs
    metrics: Metrics
    rng: random.Random
    pass_ms: int
