from foxtailbank.clock import ManualClock, SystemClock


def test_manual_clock_moves_only_on_advance():
    clock = ManualClock(start_ms=5)
    clock.advance(10)
    assert clock.now_ms() == 15
    assert clock.wall_ms() == 15


def test_system_clock_is_monotonic():
    clock = SystemClock()
    first = clock.now_ms()
    assert clock.now_ms() >= first
