"""Tests of the circuit breaker."""

from bergamotcourse.protocol.circuit_breaker import BreakerState, CircuitBreaker


class Clock:
    def __init__(self):
        self.time = 100.0

    def __call__(self):
        return self.time


class TestCircuitBreaker:
    def setup_method(self):
        self.clock = Clock()
        self.breaker = CircuitBreaker(threshold=2, pause=5.0, clock=self.clock)

    def open(self):
        for _ in range(2):
            self.breaker.fail(self.breaker.acquire())

    def probe(self):
        self.open()
        self.clock.time += 5.0
        return self.breaker.acquire()

    def test_only_consecutive_failures_open_breaker(self):
        self.breaker.fail(self.breaker.acquire())
        self.breaker.succeed(self.breaker.acquire())
        self.breaker.fail(self.breaker.acquire())
        assert self.breaker.state is BreakerState.CLOSED
        self.breaker.fail(self.breaker.acquire())
        assert self.breaker.state is BreakerState.OPEN
        assert self.breaker.acquire() is None

    def test_one_probe_is_permitted_after_the_pause(self):
        self.open()
        self.clock.time += 4.9
        assert self.breaker.acquire() is None
        self.clock.time += 0.1
        assert self.breaker.acquire().probe
        assert self.breaker.acquire() is None
        assert self.breaker.state is BreakerState.HALF_OPEN

    def test_successful_probe_closes_breaker(self):
        self.breaker.succeed(self.probe())
        assert self.breaker.state is BreakerState.CLOSED
        assert not self.breaker.acquire().probe

    def test_failed_probe_reopens_breaker_for_another_pause(self):
        self.breaker.fail(self.probe())
        self.clock.time += 4.9
        assert self.breaker.acquire() is None
        self.clock.time += 0.1
        assert self.breaker.acquire().probe

    def test_cancelled_probe_does_not_block_the_next_probe(self):
        self.breaker.abandon(self.probe())
        assert self.breaker.acquire().probe

    def test_outcomes_of_calls_before_opening_are_ignored(self):
        older = [self.breaker.acquire() for _ in range(3)]
        probe = self.probe()
        self.breaker.succeed(older[0])
        self.breaker.fail(older[1])
        self.breaker.abandon(older[2])
        assert self.breaker.state is BreakerState.HALF_OPEN
        self.breaker.succeed(probe)
        assert self.breaker.failures == 0
