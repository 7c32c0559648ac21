"""Releases of the workers against real processes under faults."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.release import ReleaseSoak


# Guards against streams that go on at another software version or are all refused,
# requests to leaving workers, and callers of VMs without workers that are not served.
@pytest.mark.parametrize("seed", [1, 4])
def test_promises_hold_while_workers_are_released(tmp_path, seed):
    soak = ReleaseSoak(
        seed=seed, net=f"127.{110 + seed}", directory=tmp_path, clock=SystemClock()
    )
    anyio.run(soak.run)
    assert soak.journal.violations == [], soak.report()
    assert soak.all_tries
