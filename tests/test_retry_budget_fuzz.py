from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from foxtailbank.retry_budget import RetryBudget

WINDOW_MS = 1000
BUCKET_MS = 100
MIN_RETRIES = 2


class RetryBudgetMachine(RuleBasedStateMachine):
    """Checks each allowed retry against the history of requests and retries."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget(
            percent=10, window_ms=WINDOW_MS, min_retries=MIN_RETRIES
        )
        self.now_ms = 0
        self.requests = []
        self.retries = []

    @rule(ms=st.integers(0, 400))
    def wait(self, ms):
        self.now_ms += ms

    @rule(count=st.integers(1, 60))
    def request(self, count):
        for _ in range(count):
            self.budget.on_request(self.now_ms)
        self.requests.extend([self.now_ms] * count)

    @rule(count=st.integers(1, 20))
    def retry(self, count):
        for _ in range(count):
            allowed = self.budget.try_retry(self.now_ms)
            if allowed:
                self.retries.append(self.now_ms)
                assert self.is_within_budget(WINDOW_MS - BUCKET_MS, WINDOW_MS)
            else:
                assert self.retry_count(WINDOW_MS) >= MIN_RETRIES

    @rule()
    def retry_succeeds_after_wait(self):
        if not self.budget.try_retry(self.now_ms):
            later_ms = self.now_ms + self.budget.wait_ms(self.now_ms)
            assert later_ms > self.now_ms
            self.now_ms = later_ms
        else:
            self.retries.append(self.now_ms)

    def retry_count(self, window_ms):
        return sum(at > self.now_ms - window_ms for at in self.retries)

    def is_within_budget(self, retry_window_ms, request_window_ms):
        requests = sum(at > self.now_ms - request_window_ms for at in self.requests)
        return self.retry_count(retry_window_ms) <= max(MIN_RETRIES, requests // 10)


RetryBudgetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestRetryBudget = RetryBudgetMachine.TestCase
