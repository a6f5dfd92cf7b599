"""Too little processor time, replayed as lateness of the calls that measure it."""

import random
from collections import deque

import pytest
import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.processor_lag import (
    LEAST_LAG_SECONDS,
    LOOK_SECONDS,
    MOST_LAG_SECONDS,
    ProcessorLag,
    share_for,
)


class Clock:
    """Timers whose time is set; the subscriber is called by hand."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time

    def every(self, period, name, call):
        pass


class Watched:
    """A lag under test, and what it logs."""

    def __init__(self):
        self.clock = Clock()
        self.kinds = []
        log = EventLog(lambda kind, fields: self.kinds.append(kind))
        self.used = 0.0
        rng = random.Random(1)
        self.lag = ProcessorLag(self.clock, log, rng, lambda: self.used)

    def look(self, seconds, share=0.1):
        """Let so much time pass with a share of the processor, then look."""
        self.clock.time += seconds
        self.used += seconds * share
        trio.run(self.lag.look)


class TestLateness:
    def test_calls_in_time_turn_nothing_away(self):
        watched = Watched()
        for _ in range(10):
            watched.look(LOOK_SECONDS * 1.1)
            assert not watched.lag.turns_away()

    def test_the_later_the_more(self):
        lags = (LEAST_LAG_SECONDS, 0.15, 0.2, MOST_LAG_SECONDS)
        shares = [share_for(lag) for lag in lags]
        assert shares == sorted(shares)
        assert shares[0] == 0
        assert share_for(MOST_LAG_SECONDS * 4) == shares[-1] < 1

    def test_a_pause_turns_nothing_away(self):
        watched = Watched()
        watched.look(2.0, share=0.001)
        assert watched.lag.share == 0
        assert watched.kinds == []

    def test_a_call_in_time_ends_it(self):
        watched = Watched()
        for seconds in (0.2, 0.3, 0.02):
            watched.look(seconds)
        assert watched.lag.share == 0
        assert watched.kinds == ["processor.short", "processor.enough"]


class Entry:
    """A processor that reads requests in passes, and serves or refuses them.

    The costs are those of an entry with a tenth of a processor: 60 ms for a job that is
    placed, 12 ms for one that is turned away.
    """

    PLACE_SECONDS = 0.06
    REFUSE_SECONDS = 0.012
    USEFUL_SECONDS = 0.3

    def __init__(self, sheds):
        self.sheds = sheds
        self.watched = Watched()
        self.queue = deque()
        self.in_time = 0

    def run_pass(self, arrivals):
        """Read what has come, then do it all, as an event loop does."""
        now = self.watched.clock.time
        while arrivals and arrivals[0] <= now:
            self.queue.append(arrivals.popleft())
        cost = 0.001
        for came in self.queue:
            if self.sheds and self.watched.lag.turns_away():
                cost += self.REFUSE_SECONDS
                continue
            cost += self.PLACE_SECONDS
            self.in_time += now + cost - came <= self.USEFUL_SECONDS
        self.queue.clear()
        self.watched.look(max(cost, LOOK_SECONDS))


def share_in_time(load, sheds, seconds=60.0, seed=1):
    """Return the share of jobs placed in time, under a load of the processor."""
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
    def test_what_is_turned_away_lets_the_rest_be_in_time(self, load, least):
        assert share_in_time(load, sheds=False) < 0.05
        assert share_in_time(load, sheds=True) > least

    def test_at_half_load_little_is_lost(self):
        assert share_in_time(0.5, sheds=True) > 0.95
