"""Creates the policies selected in the settings."""

import random
import typing as t

from foxtailbank.adaptive_batch_limit import AdaptiveBatchLimit
from foxtailbank.batch_limit import BatchLimit, StaticBatchLimit, UnlimitedBatchLimit
from foxtailbank.gap_objective import RelativeGapObjective
from foxtailbank.routing import (
    LeastLoadedRouter,
    PrefixAffinityRouter,
    RoundRobinRouter,
    Router,
)
from foxtailbank.settings_sections import (
    BatchLimitChoice,
    PolicySection,
    RouterChoice,
)
from foxtailbank.step_model import StepModel

INITIAL_MAX_RUNNING = 8

LimitFactory: t.TypeAlias = t.Callable[[], BatchLimit]


def make_router(policy: PolicySection, *, rng: random.Random) -> Router:
    """Create the selected router.

    Parameters
    ----------
    policy : PolicySection
        Policy settings.
    rng : random.Random
        Source of randomness for tie-breaking.
    """
    if policy.router is RouterChoice.FIFO:
        return RoundRobinRouter()
    least_loaded = LeastLoadedRouter(rng=rng)
    if policy.router is RouterChoice.LEAST_LOADED:
        return least_loaded
    return PrefixAffinityRouter(fallback=least_loaded)


def make_batch_limit(policy: PolicySection) -> BatchLimit:
    """Create the selected batch limit for one endpoint.

    Parameters
    ----------
    policy : PolicySection
        Policy settings.
    """
    if policy.batch_limit is BatchLimitChoice.UNLIMITED:
        return UnlimitedBatchLimit()
    if policy.batch_limit is BatchLimitChoice.STATIC:
        return StaticBatchLimit(max_batch_streams=policy.static_batch_streams)
    return AdaptiveBatchLimit(
        max_running=INITIAL_MAX_RUNNING,
        objective=RelativeGapObjective(),
        model=StepModel(),
    )
