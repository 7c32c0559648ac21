from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from foxtailbank.retry_budget import RetryBudget

WINDOW_MS = 1000
SLOT_MS = 100
FLOOR = 2


class RetryBudgetMachine(RuleBasedStateMachine):
    """Checks each granted retry against a list of all events."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget(percent=10, window_ms=WINDOW_MS, floor_retries=FLOOR)
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
            granted = self.budget.try_retry(self.now_ms)
            if granted:
                self.retries.append(self.now_ms)
                assert self.within(WINDOW_MS - SLOT_MS, WINDOW_MS)
            else:
                assert self.used(WINDOW_MS) >= FLOOR

    @rule()
    def time_to_come_back_frees_a_retry(self):
        if not self.budget.try_retry(self.now_ms):
            later_ms = self.now_ms + self.budget.wait_ms(self.now_ms)
            assert later_ms > self.now_ms
            self.now_ms = later_ms
        else:
            self.retries.append(self.now_ms)

    def used(self, window_ms):
        return sum(at > self.now_ms - window_ms for at in self.retries)

    def within(self, retry_window_ms, request_window_ms):
        requests = sum(at > self.now_ms - request_window_ms for at in self.requests)
        return self.used(retry_window_ms) <= max(FLOOR, requests // 10)


RetryBudgetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestRetryBudget = RetryBudgetMachine.TestCase
