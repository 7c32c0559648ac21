import pathlib

import pytest

from foxtailbank_bench.load_plan import bursts, plan
from foxtailbank_bench.scenario import OnlineLoad, policies_of, read_scenario
from foxtailbank_bench.settings_text import settings_text

LOAD = OnlineLoad(requests_per_s=20.0, tokens=8, burst_requests=5, burst_period_s=2.0)
SCENARIOS = sorted(pathlib.Path("bench/scenarios").glob("*.toml"))


def test_the_plan_depends_on_nothing_but_load_and_seed():
    first = plan(LOAD, duration_s=10, seed=1)
    assert first == plan(LOAD, duration_s=10, seed=1)
    assert first != plan(LOAD, duration_s=10, seed=2)
    assert [one.at_s for one in first] == sorted(one.at_s for one in first)


def test_bursts_come_at_once_beside_single_requests():
    arrivals = plan(LOAD, duration_s=10, seed=1)
    starts = bursts(LOAD, duration_s=10)
    assert starts == (1.0, 3.0, 5.0, 7.0, 9.0)
    for start in starts:
        assert sum(one.in_burst and one.at_s == start for one in arrivals) == 5
    singles = [one for one in arrivals if not one.in_burst]
    assert 150 < len(singles) < 250


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_files_give_deployments(path):
    scenario = read_scenario(path)
    assert scenario.name == path.stem
    policies = policies_of(scenario)
    assert policies[0].settings == ()
    for policy in policies:
        deployment = scenario.deployment(first_port=9000, policy=policy.settings)
        assert len(deployment.zones) == 3
        assert len(deployment.endpoints) == scenario.engines + scenario.workers
        text = settings_text(deployment, deployment.entries[0], platform="127.0.0.1:1")
        assert all(name in text for name, _ in policy.settings)


def test_item_lengths_have_the_mean_that_the_scenario_says():
    batch = read_scenario(SCENARIOS[0]).batch
    lengths = batch.item_tokens()
    assert sum(lengths) / len(lengths) == pytest.approx(batch.tokens, rel=0.02)
