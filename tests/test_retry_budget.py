from foxtailbank.retry_budget import RetryBudget


def test_retries_stay_within_the_share_of_traffic():
    budget = RetryBudget(percent=10, window_ms=10_000, floor_retries=3)
    for n in range(200):
        budget.on_request(n)
    assert sum(budget.try_retry(200) for _ in range(100)) == 20


def test_floor_allows_retries_without_traffic_and_window_renews_it():
    budget = RetryBudget(percent=10, window_ms=10_000, floor_retries=3)
    assert sum(budget.try_retry(0) for _ in range(10)) == 3
    wait_ms = budget.wait_ms(0)
    assert not budget.try_retry(wait_ms - 1)
    assert budget.try_retry(wait_ms)
