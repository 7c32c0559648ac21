"""Speed of workers from their answers and from the reports of other VMs."""

import pytest

from foxtailbank.fleet.worker_speed import FRESH_MS, MEAN_SPEED_CODE, WorkerSpeeds
from serving_fakes import make_worker

WORKERS = tuple(make_worker(f"w{n}") for n in range(4))
SLOW = WORKERS[0]


def answers(speeds, *, factor, rounds, now_ms=0):
    """Record answers of two sizes; the slow worker takes longer by a factor."""
    for _ in range(rounds):
        for worker in WORKERS:
            slower = factor if worker is SLOW else 1.0
            for tokens in (200, 4_000):
                speeds.record(
                    worker, tokens=tokens, duration_ms=slower * tokens, now_ms=now_ms
                )


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.5])
def test_speed_is_learned_from_a_few_answers_of_any_size_and_forgotten(factor):
    speeds = WorkerSpeeds()
    answers(speeds, factor=1.0, rounds=20)
    answers(speeds, factor=factor, rounds=10)
    ratio = speeds.speed(SLOW.worker_id) / speeds.speed("w1")
    assert ratio == pytest.approx(1 / factor, rel=0.2)
    answers(speeds, factor=1.0, rounds=20)
    assert speeds.speed(SLOW.worker_id) == pytest.approx(1.0, rel=0.1)


def test_a_peer_learns_a_speed_from_reports():
    speeds, peer = WorkerSpeeds(), WorkerSpeeds()
    answers(speeds, factor=2.5, rounds=30)
    codes = speeds.codes([worker.worker_id for worker in WORKERS], 0)
    for _ in range(100):
        for worker_id, code in codes.items():
            peer.on_report(worker_id, code)
    expected = speeds.speed(SLOW.worker_id)
    assert peer.speed(SLOW.worker_id) == pytest.approx(expected, rel=0.1)
    assert peer.codes(codes, 0) == {}  # it has seen no answer itself


@pytest.mark.parametrize("octaves", [-9, -3, 0, 3, 9])
def test_codes_fit_into_a_byte_and_are_never_unknown(octaves):
    speeds = WorkerSpeeds()
    for worker, duration_ms in ((WORKERS[1], 1_000), (SLOW, 1_000 / 2.0**octaves)):
        for _ in range(200):
            speeds.record(worker, tokens=0, duration_ms=duration_ms, now_ms=0)
    codes = speeds.codes([SLOW.worker_id], 0)
    assert all(0 < code < 256 for code in codes.values())


@pytest.mark.parametrize("code", [0, 1, 255])
def test_any_byte_gives_a_bounded_speed(code):
    speeds = WorkerSpeeds()
    for _ in range(1_000):
        speeds.on_report("w", code)
    assert 1 / 8 <= speeds.speed("w") <= 8


def test_old_estimates_are_not_reported_and_unknown_workers_are_as_the_mean():
    speeds = WorkerSpeeds()
    speeds.record(SLOW, tokens=9, duration_ms=5, now_ms=0)
    assert speeds.codes([SLOW.worker_id], FRESH_MS - 1) == {
        SLOW.worker_id: MEAN_SPEED_CODE
    }
    assert speeds.codes([SLOW.worker_id, "other"], FRESH_MS) == {}
    speeds.forget(SLOW.worker_id)
    assert speeds.speed(SLOW.worker_id) == 1.0
