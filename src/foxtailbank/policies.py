"""Makes the policies that the settings choose."""

import random
import typing as t

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import BatchLimit, StaticBatchLimit, UnlimitedBatch
from foxtailbank.gap_objective import RelativeGapObjective
from foxtailbank.routing import (
    FifoRouter,
    LeastLoadedRouter,
    PrefixAffinityRouter,
    Router,
)
from foxtailbank.settings_sections import (
    BatchLimitChoice,
    PolicySection,
    RouterChoice,
)
from foxtailbank.step_model import StepModel

FIRST_MAX_RUNNING = 8

LimitFactory: t.TypeAlias = t.Callable[[], BatchLimit]


def make_router(policy: PolicySection, *, rng: random.Random) -> Router:
    """Return the router.

    Parameters
    ----------
    policy : PolicySection
        What is chosen.
    rng : random.Random
        Breaks ties.
    """
    if policy.router is RouterChoice.FIFO:
        return FifoRouter()
    least_loaded = LeastLoadedRouter(rng=rng)
    if policy.router is RouterChoice.LEAST_LOADED:
        return least_loaded
    return PrefixAffinityRouter(fallback=least_loaded)


def make_batch_limit(policy: PolicySection) -> BatchLimit:
    """Return a batch limit for one endpoint.

    Parameters
    ----------
    policy : PolicySection
        What is chosen.
    """
    if policy.batch_limit is BatchLimitChoice.UNLIMITED:
        return UnlimitedBatch()
    if policy.batch_limit is BatchLimitChoice.STATIC:
        return StaticBatchLimit(max_batch_streams=policy.static_batch_streams)
    return AdaptiveBatchLimit(
        max_running=FIRST_MAX_RUNNING,
        objective=RelativeGapObjective(),
        model=StepModel(),
    )
