"""Counts of the calls to the platform's store."""

import pytest

from foxtailbank.keyed_log import StoreRefused, StoreResponseLost
from foxtailbank.metrics import Metrics
from foxtailbank_platform.store_meter import StoreMeter


def value_of(metrics, name, reason):
    lines = metrics.exposition().decode().splitlines()
    wanted = f'foxtailbank_{name}_total{{entry="",reason="{reason}"}} '
    return sum(float(line.split()[-1]) for line in lines if line.startswith(wanted))


# Guards against calls repeated after a time-out that no metric tells from others.
@pytest.mark.parametrize(
    ("failure", "outcome", "repeats"),
    [(StoreRefused(), "refused", 0), (StoreResponseLost(), "lost", 1)],
)
def test_calls_are_counted_by_outcome_and_as_repeats_of_lost_ones(
    failure, outcome, repeats
):
    metrics = Metrics()
    meter = StoreMeter(metrics=metrics)
    with pytest.raises(type(failure)), meter.call("read", "a"):
        raise failure
    for topic in ("b", "a", "a"):
        with meter.call("read", topic):
            pass
    assert value_of(metrics, "store_calls", f"read {outcome}") == 1
    assert value_of(metrics, "store_calls", "read answered") == 3
    assert value_of(metrics, "store_repeats", "read") == repeats
