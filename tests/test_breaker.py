from foxtailbank.breaker import BreakerState, CircuitBreaker


def test_half_open_circuit_lets_one_probe_through_and_backs_off():
    breaker = CircuitBreaker(failures_to_open=2, open_ms=100, open_max_ms=1000)
    breaker.on_failure(0)
    assert breaker.state(0) is BreakerState.CLOSED
    breaker.on_failure(0)
    assert breaker.state(99) is BreakerState.OPEN
    assert breaker.state(100) is BreakerState.HALF_OPEN
    breaker.on_dispatch(100)
    assert breaker.state(101) is BreakerState.OPEN
    breaker.on_failure(150)
    assert breaker.state(349) is BreakerState.OPEN
    assert breaker.state(350) is BreakerState.HALF_OPEN
    breaker.on_dispatch(350)
    breaker.on_success()
    assert breaker.state(351) is BreakerState.CLOSED


def test_failures_of_earlier_requests_do_not_delay_the_probe():
    breaker = CircuitBreaker(open_ms=100)
    breaker.on_death(0)
    for now_ms in range(0, 100, 10):
        breaker.on_failure(now_ms)
    assert breaker.state(100) is BreakerState.HALF_OPEN


def test_failed_health_check_when_a_probe_is_due_keeps_the_circuit_open():
    breaker = CircuitBreaker(open_ms=100)
    breaker.on_death(0)
    breaker.on_death(100)
    assert breaker.state(299) is BreakerState.OPEN
    assert breaker.state(300) is BreakerState.HALF_OPEN
