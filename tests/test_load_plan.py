import pathlib

import pytest

from foxtailbank_bench.load_plan import burst_times_s, plan_arrivals
from foxtailbank_bench.scenario import OnlineLoad, compared_policies, read_scenario
from foxtailbank_bench.settings_text import settings_text

LOAD = OnlineLoad(requests_per_s=20.0, tokens=8, burst_requests=5, burst_period_s=2.0)
SCENARIOS = sorted(pathlib.Path("bench/scenarios").glob("*.toml"))


def test_plan_is_determined_by_load_and_seed():
    first = plan_arrivals(LOAD, duration_s=10, seed=1)
    assert first == plan_arrivals(LOAD, duration_s=10, seed=1)
    assert first != plan_arrivals(LOAD, duration_s=10, seed=2)
    assert [arrival.at_s for arrival in first] == sorted(
        arrival.at_s for arrival in first
    )


def test_burst_requests_are_sent_together_and_add_to_single_requests():
    arrivals = plan_arrivals(LOAD, duration_s=10, seed=1)
    starts = burst_times_s(LOAD, duration_s=10)
    assert starts == (1.0, 3.0, 5.0, 7.0, 9.0)
    for start in starts:
        assert (
            sum(arrival.in_burst and arrival.at_s == start for arrival in arrivals) == 5
        )
    singles = [arrival for arrival in arrivals if not arrival.in_burst]
    assert 150 < len(singles) < 250


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_files_give_deployments(path):
    scenario = read_scenario(path)
    assert scenario.name == path.stem
    policies = compared_policies(scenario)
    assert policies[0].settings == ()
    for policy in policies:
        deployment = scenario.deployment(first_port=9000, policy=policy.settings)
        assert len(deployment.zones) == 3
        assert len(deployment.endpoints) == scenario.engines + scenario.workers
        text = settings_text(deployment, deployment.entries[0], platform="127.0.0.1:1")
        assert all(name in text for name, _ in policy.settings)


def test_item_lengths_have_the_mean_of_the_scenario():
    batch = read_scenario(SCENARIOS[0]).batch
    lengths = batch.item_tokens()
    assert sum(lengths) / len(lengths) == pytest.approx(batch.tokens, rel=0.02)
