"""Keys that are taken away from real processes that are cut off or frozen."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.revocation import RevocationSoak


# Guards against requests that run with a key past the bound after it was taken away.
@pytest.mark.parametrize("seed", [1])
def test_no_key_counts_past_the_bound(tmp_path, seed):
    soak = RevocationSoak(
        seed=seed, net=f"127.{120 + seed}", directory=tmp_path, clock=SystemClock()
    )
    anyio.run(soak.run)
    assert soak.journal.violations == [], soak.report()
    assert soak.tries
