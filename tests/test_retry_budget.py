from foxtailbank.retry_budget import RetryBudget


def test_retries_stay_within_the_share_of_traffic():
    budget = RetryBudget(percent=10, window_ms=10_000, min_retries=3)
    for n in range(200):
        budget.on_request(n)
    assert sum(budget.try_retry(200) for _ in range(100)) == 20


def test_minimum_retries_are_allowed_without_traffic_and_renewed():
    budget = RetryBudget(percent=10, window_ms=10_000, min_retries=3)
    assert sum(budget.try_retry(0) for _ in range(10)) == 3
    wait_ms = budget.wait_ms(0)
    assert not budget.try_retry(wait_ms - 1)
    assert budget.try_retry(wait_ms)
