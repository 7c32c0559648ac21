import random

import pytest

from foxtailbank.gap_objective import FixedGapObjective, RelativeGapObjective
from foxtailbank.step_model import StepModel


@pytest.mark.parametrize(
    ("base_ms", "per_stream_ms", "prefill_ms"), [(20, 0.4, 10), (8, 1.5, 30)]
)
def test_model_fits_engine_step_times(base_ms, per_stream_ms, prefill_ms):
    rng = random.Random(3)
    model = StepModel()
    for _ in range(3000):
        streams = rng.randrange(1, 60)
        prefills = int(rng.random() < 0.2)
        gap_ms = base_ms + per_stream_ms * streams + prefill_ms * prefills
        model.observe(streams=streams, prefills=prefills, gap_ms=gap_ms)
    assert model.step_ms(10) == pytest.approx(base_ms + 10 * per_stream_ms, rel=0.02)
    assert model.prefill_ms == pytest.approx(prefill_ms, rel=0.05)
    assert model.streams_within(base_ms + 10.5 * per_stream_ms) in (9, 10, 11)


def test_constant_batch_keeps_the_slope_positive():
    model = StepModel()
    for _ in range(10_000):
        model.observe(streams=12, prefills=0, gap_ms=30.0)
    assert model.step_ms(20) > model.step_ms(12)


def test_relative_objective_follows_the_percentile_without_batch():
    objective = RelativeGapObjective(ratio=1.1, initial_objective_ms=50)
    assert objective.objective_ms() == pytest.approx(50)
    for n in range(10_000):
        baseline_gap_ms = 40.0 if n % 50 == 0 else 20.0
        objective.observe(baseline_gap_ms=baseline_gap_ms, online_streams=1)
    assert objective.objective_ms() == pytest.approx(44)


def test_fixed_objective_ignores_observations():
    objective = FixedGapObjective(objective_ms=57)
    objective.observe(baseline_gap_ms=90, online_streams=5)
    assert objective.objective_ms() == 57
