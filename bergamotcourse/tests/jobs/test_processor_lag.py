"""Load shedding under a lack of processor time, replayed as late measurements."""

import itertools
import random
from collections import deque

import pytest
import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.caller_drain import Shortage
from bergamotcourse.coordination.jobs.processor_lag import (
    MAX_SHEDDING_LAG_SECONDS,
    MEASUREMENT_INTERVAL_SECONDS,
    SHEDDING_START_LAG_SECONDS,
    ProcessorLag,
    shed_share_at,
)


class Clock:
    """Timers whose time is set by the test, which also calls the subscriber."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time

    def every(self, period, name, call):
        pass


class LagUnderTest:
    """A ``ProcessorLag`` under test and the kinds of its log lines."""

    def __init__(self):
        self.clock = Clock()
        self.kinds = []
        log = EventLog(lambda kind, fields: self.kinds.append(kind))
        self.used = 0.0
        rng = random.Random(1)
        self.lag = ProcessorLag(self.clock, log, rng, lambda: self.used)

    def measure_after(self, seconds, share=0.1):
        """Measure after some seconds with a share of the processor."""
        self.clock.time += seconds
        self.used += seconds * share
        trio.run(self.lag.measure_lag)


class TestShedding:
    def test_no_job_is_rejected_without_lag(self):
        tested = LagUnderTest()
        for _ in range(10):
            tested.measure_after(MEASUREMENT_INTERVAL_SECONDS * 1.1)
            assert not tested.lag.should_reject_job()

    def test_shed_share_rises_with_lag(self):
        lags = (SHEDDING_START_LAG_SECONDS, 0.15, 0.2, MAX_SHEDDING_LAG_SECONDS)
        shares = [shed_share_at(lag) for lag in lags]
        assert shares == sorted(shares)
        assert shares[0] == 0
        assert shed_share_at(MAX_SHEDDING_LAG_SECONDS * 4) == shares[-1] < 1

    def test_pause_causes_no_rejections(self):
        tested = LagUnderTest()
        tested.measure_after(2.0, share=0.001)
        assert tested.lag.shed_share == 0
        assert tested.kinds == []

    def test_payloads_that_wait_unread_cause_rejections(self):
        """Guards against an overload that no timer shows.

        The messages of agents waited for seconds while each pass of the event loop, and
        so the lateness of timers, was short.
        """
        tested = LagUnderTest()
        tested.lag.backlog_seconds = lambda: MAX_SHEDDING_LAG_SECONDS
        tested.measure_after(MEASUREMENT_INTERVAL_SECONDS)
        assert tested.lag.shed_share == shed_share_at(MAX_SHEDDING_LAG_SECONDS)
        assert tested.kinds == ["processor.short"]
        tested.lag.backlog_seconds = lambda: 0.0
        tested.measure_after(MEASUREMENT_INTERVAL_SECONDS)
        assert tested.lag.shed_share == 0

    def test_punctual_measurement_ends_shedding(self):
        tested = LagUnderTest()
        for seconds in (0.2, 0.3, 0.02):
            tested.measure_after(seconds)
        assert tested.lag.shed_share == 0
        assert tested.kinds == ["processor.short", "processor.enough"]


class Entry:
    """An entry that reads requests in passes, and places or rejects them.

    The costs are those of an entry with a tenth of a processor: 60 ms for a job that is
    placed, 12 ms for one that is rejected.
    """

    PLACE_SECONDS = 0.06
    REJECT_SECONDS = 0.012
    DEADLINE_SECONDS = 0.3

    def __init__(self, sheds):
        self.sheds = sheds
        self.tested = LagUnderTest()
        self.queue = deque()
        self.in_time = 0

    def run_pass(self, arrivals):
        """Read all arrived requests, then process them, as an event loop does."""
        now = self.tested.clock.time
        while arrivals and arrivals[0] <= now:
            self.queue.append(arrivals.popleft())
        cost = 0.001
        for came in self.queue:
            if self.sheds and self.tested.lag.should_reject_job():
                cost += self.REJECT_SECONDS
                continue
            cost += self.PLACE_SECONDS
            self.in_time += now + cost - came <= self.DEADLINE_SECONDS
        self.queue.clear()
        self.tested.measure_after(max(cost, MEASUREMENT_INTERVAL_SECONDS))


def share_in_time(load, sheds, seconds=60.0, seed=1):
    """Return the share of jobs placed in time at a load relative to the processor."""
    rng = random.Random(seed)
    entry = Entry(sheds)
    arrivals = deque()
    at = 0.0
    while at < seconds:
        at += rng.expovariate(load / Entry.PLACE_SECONDS)
        arrivals.append(at)
    count = len(arrivals)
    while arrivals:
        entry.run_pass(arrivals)
    return entry.in_time / count


class TestOverload:
    @pytest.mark.parametrize(("load", "least"), [(1.2, 0.6), (1.5, 0.44), (2.0, 0.23)])
    def test_rejections_keep_the_other_jobs_in_time(self, load, least):
        assert share_in_time(load, sheds=False) < 0.05
        assert share_in_time(load, sheds=True) > least

    @pytest.mark.parametrize(("load", "passes_on"), [(0.5, False), (2.0, True)])
    def test_callers_are_passed_on_under_overload_only(self, load, passes_on):
        """Rejections lower the lag, which must not hide a lasting overload."""
        rng = random.Random(1)
        entry = Entry(sheds=True)
        gaps = (rng.expovariate(load / Entry.PLACE_SECONDS) for _ in range(1000))
        arrivals = deque(itertools.accumulate(gaps))
        lasting = 0
        while arrivals:
            entry.run_pass(arrivals)
            lag = entry.tested.lag
            shortage = Shortage(lag.shedding_since, lag.last_shed_at)
            lasting += shortage.is_lasting(entry.tested.clock.time)
        assert bool(lasting) == passes_on

    def test_few_jobs_are_rejected_at_half_load(self):
        assert share_in_time(0.5, sheds=True) > 0.95
