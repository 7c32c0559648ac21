"""Soak seeds that failed before, with the cause of each."""

import anyio
import pytest

from foxtailbank.clock import SystemClock
from foxtailbank_soak.soak import Options, Soak


@pytest.mark.parametrize(
    ("seed", "series", "net"),
    [
        # A second signal killed a stopping VM before its open requests were done.
        pytest.param(304, 8, "127.85", id="304-signals-in-series"),
        # Requests were sent as the VM closed idle connections; the check must allow it.
        pytest.param(203, 8, "127.86", id="203-crossed-a-close"),
        # Results were read from another VM before it had read the log again; the
        # check must wait `PROPAGATION_S` first.
        pytest.param(209, 8, "127.87", id="209-within-the-settling-time"),
        # A reload ended a VM that was being started and did not handle signals yet.
        pytest.param(2201, 6, "127.93", id="2201-reload-at-a-start"),
    ],
)
def test_formerly_failing_seed_passes(tmp_path, seed, series, net):
    options = Options(seed=seed, series=series, net=net)
    soak = Soak(options=options, directory=tmp_path, clock=SystemClock())
    anyio.run(soak.run)
    assert soak.journal.violations == [], soak.report()
