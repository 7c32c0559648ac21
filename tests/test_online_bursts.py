"""The first sign of a burst of online requests, and its end, from samples."""

import random

import pytest

from foxtailbank.submissions.online_bursts import (
    MAX_GAP_MS,
    SAMPLE_INTERVAL_MS,
    WINDOW_MS,
    OnlineBursts,
)

CALM, BURST = 0.17, 0.86
TROUGH_MS, WAVE_MS = 3_400, 5_800
RISE_MS = 800  # a request runs so long


def wave_share(at_ms):
    """Return the load in waves, which rises and falls as requests begin and end."""
    in_burst_ms = at_ms % WAVE_MS - TROUGH_MS
    if in_burst_ms >= 0:
        return CALM + (BURST - CALM) * min(1.0, in_burst_ms / RISE_MS)
    since_end_ms = in_burst_ms + TROUGH_MS
    if at_ms < WAVE_MS or since_end_ms >= RISE_MS:
        return CALM
    return BURST - (BURST - CALM) * since_end_ms / RISE_MS


def play(share_at, *, until_ms):
    """Return the burst shares by time."""
    bursts = OnlineBursts()
    seen = {}
    for now_ms in range(0, until_ms, SAMPLE_INTERVAL_MS):
        bursts.add(share_at(now_ms), now_ms)
        seen[now_ms] = bursts.burst_share
    return seen


# Guards against bursts noticed when they are at their height, or never over.
def test_a_burst_is_on_from_its_first_sign_to_its_fall():
    seen = play(wave_share, until_ms=4 * WAVE_MS)
    for now_ms in range(WAVE_MS, 4 * WAVE_MS, SAMPLE_INTERVAL_MS):
        in_burst_ms = now_ms % WAVE_MS - TROUGH_MS
        if in_burst_ms >= RISE_MS / 3:
            assert seen[now_ms] == pytest.approx(BURST), now_ms
        elif RISE_MS < now_ms % WAVE_MS < TROUGH_MS:
            assert seen[now_ms] is None, now_ms


# Guards against items that are preempted again and again under a steady load.
@pytest.mark.parametrize("mean", [0.1, 0.4, 0.7])
def test_the_variation_of_a_steady_load_is_no_burst(mean):
    rng = random.Random(1)
    seen = play(
        lambda _: sum(rng.random() < mean for _ in range(60)) / 60, until_ms=60_000
    )
    assert set(seen.values()) == {None}


# Guards against a reserve for bursts that never ends after a lasting rise.
def test_a_lasting_rise_is_no_burst_any_more():
    seen = play(lambda at_ms: BURST if at_ms >= 5_000 else CALM, until_ms=25_000)
    assert seen[6_000] == BURST
    assert seen[5_000 + WINDOW_MS + SAMPLE_INTERVAL_MS] is None


def test_samples_before_a_gap_do_not_count():
    bursts = OnlineBursts()
    bursts.add(CALM, 0)
    bursts.add(BURST, MAX_GAP_MS + 1)
    assert bursts.burst_share is None
