from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailbank.admission import Admission, Admitted, LimitShare

RATE_MILLI_PER_S = 2702
BURST = 4
TOKENS_MILLI_PER_S = 41_006
TOKENS_BURST = 100
CONCURRENCY = 3
SHARE = LimitShare(
    requests_milli_per_s=RATE_MILLI_PER_S,
    requests_burst=BURST,
    tokens_milli_per_s=TOKENS_MILLI_PER_S,
    tokens_burst=TOKENS_BURST,
    concurrency=CONCURRENCY,
)


class AdmissionMachine(RuleBasedStateMachine):
    """Checks every time window of admitted requests against rate and burst."""

    def __init__(self):
        super().__init__()
        self.admission = Admission()
        self.admission.set_share("k", SHARE, 0)
        self.now_ms = 0
        self.held = []
        self.used = []

    @rule(ms=st.integers(0, 3000))
    def wait(self, ms):
        self.now_ms += ms

    @rule(tokens=st.integers(0, TOKENS_BURST), wait=st.booleans())
    def admit(self, tokens, wait):
        result = self.admission.admit(keys=("k",), tokens=tokens, now_ms=self.now_ms)
        if not isinstance(result, Admitted) and wait and len(self.held) < CONCURRENCY:
            self.now_ms += result.retry_after_ms - 1
            early = self.admission.admit(keys=("k",), tokens=tokens, now_ms=self.now_ms)
            assert not isinstance(early, Admitted), (
                "request admitted before its retry time"
            )
            self.now_ms += 1
            result = self.admission.admit(
                keys=("k",), tokens=tokens, now_ms=self.now_ms
            )
            assert isinstance(result, Admitted), "request refused at its retry time"
        if isinstance(result, Admitted):
            self.held.append(result)
            self.used.append([self.now_ms, tokens, result])

    @rule(used=st.integers(0, TOKENS_BURST), index=st.integers(0, 10))
    def release(self, used, index):
        if not self.held:
            return
        admit = self.held.pop(index % len(self.held))
        used = min(used, admit.tokens)
        self.admission.release(admit, used_tokens=used, now_ms=self.now_ms)
        entry = next(entry for entry in self.used if entry[2] is admit)
        entry[1] = used

    @rule(scale=st.sampled_from([1, 2]))
    def resize(self, scale):
        resized = LimitShare(
            requests_milli_per_s=RATE_MILLI_PER_S // scale,
            requests_burst=BURST // scale,
            tokens_milli_per_s=TOKENS_MILLI_PER_S // scale,
            tokens_burst=TOKENS_BURST,
            concurrency=CONCURRENCY,
        )
        self.admission.set_share("k", resized, self.now_ms)

    @invariant()
    def rate_and_burst_are_never_exceeded(self):
        tokens = 0
        for requests, (at_ms, used, _) in enumerate(reversed(self.used), start=1):
            tokens += used
            window_ms = self.now_ms - at_ms
            assert requests * 10**6 <= BURST * 10**6 + RATE_MILLI_PER_S * window_ms
            allowed = TOKENS_BURST * 10**6 + TOKENS_MILLI_PER_S * window_ms
            assert tokens * 10**6 <= allowed

    @invariant()
    def concurrency_is_never_exceeded(self):
        assert len(self.held) <= CONCURRENCY


AdmissionMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestAdmission = AdmissionMachine.TestCase
