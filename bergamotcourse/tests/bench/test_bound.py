"""The upper bound of a replay holds for every schedule, and is reached by some."""

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from bergamotcourse.bench.replay.bound import earnable_share
from bergamotcourse.bench.replay.capacity import (
    Capacity,
    Life,
    Outage,
    Stretch,
    capacity_of,
)
from bergamotcourse.bench.replay.compare import replay_with_bound
from bergamotcourse.bench.replay.load_file import (
    AllLost,
    Burst,
    Failing,
    Kind,
    Leaving,
    Load,
    Slow,
    Stalled,
    Unanswered,
    UpstreamLost,
)
from bergamotcourse.bench.replay.offered import OfferedJob, offered_jobs
from bergamotcourse.bench.replay.run import replay
from bergamotcourse.bench.replay.tally import LATE_WORTH_SHARE
from bergamotcourse.coordination.jobs.job_run import LATE_FACTOR
from bergamotcourse.coordination.jobs.policy import JobPolicy

LOAD = Load([Kind("check", 1, 2, 0.1)], agents=2, slots=4)
TICK_ROUNDING = 0.03
"""Room for the tick by which the bound widens each span, relative to the cases."""


def life(speed=1.0, begins=-math.inf, ends=math.inf, slots=1):
    return Life(slots, (Stretch(begins, ends, speed),))


def share(*jobs, lives=None, outages=()):
    lives = lives or [life()]
    return earnable_share(list(jobs), Capacity(tuple(lives), tuple(outages)))


def job(work=1.0, objective=1.0, arrived=0.0, worth=1.0, tasks=1):
    return OfferedJob(arrived, objective, (work,) * tasks, worth)


class TestKnownOptimum:
    def test_room_for_one_of_two_jobs(self):
        late_too = pytest.approx((1 + LATE_WORTH_SHARE) / 2, abs=TICK_ROUNDING)
        assert share(job(), job()) == late_too

    def test_less_worthy_job_is_given_up(self):
        best = (3 + LATE_WORTH_SHARE) / 4
        found = share(job(worth=3.0), job(worth=1.0))
        assert found == pytest.approx(best, abs=TICK_ROUNDING)

    def test_jobs_that_fit_earn_all(self):
        assert share(job(), job(), lives=[life(slots=2)]) == 1.0

    def test_tasks_that_overlap_both_ends_of_a_span_need_room_in_it(self):
        # Both windows of 1.1 s begin and end between times of the grid. The least span
        # around them has room for 1.5 of the 2 s of work, so half a job is given up.
        windows_alone = 1 - 0.5 * (1 - LATE_WORTH_SHARE) / 2
        assert share(*[job(1.0, 1.1, 0.1)] * 2) < windows_alone

    def test_only_the_fast_upstream_is_fast_enough(self):
        fast, slow = life(2.0), life(0.5)
        assert share(job(2.0), lives=[fast, slow]) == 1.0
        assert share(job(2.0), lives=[slow, slow]) == 0.0

    def test_upstream_that_is_away_has_no_room(self):
        away = [life(ends=0.5), life(begins=2.0)]
        assert share(job(), lives=away) == pytest.approx(LATE_WORTH_SHARE)

    @pytest.mark.parametrize(
        "work, earned", [(0.9, 1.0), (1.5, LATE_WORTH_SHARE), (3.5, 0.0)]
    )
    def test_job_with_a_long_task_is_in_time_late_or_lost(self, work, earned):
        assert share(job(work), lives=[life(slots=9)]) == pytest.approx(earned)

    def test_answer_after_the_callers_timeout_earns_nothing(self):
        assert share(job(6.9, 8.0)) == 1.0
        assert share(job(7.1, 8.0)) == 0.0

    def test_job_in_an_outage_begins_with_the_first_call_after_it(self):
        # Called again 1.3 s after its arrival, with 1.7 s left until it is too late.
        outage = Outage(-0.5, 1.0)
        assert share(job(1.2), outages=[outage]) == pytest.approx(LATE_WORTH_SHARE)
        assert share(job(1.8), outages=[outage]) == 0.0

    def test_job_that_is_due_in_an_outage_ends_before_it(self):
        assert share(job(0.9), outages=[Outage(0.5, 5.0)]) == 0.0

    def test_load_without_jobs_earns_all(self):
        assert share() == 1.0


def best_schedule(jobs, lives):
    """Return the greatest worth over all subsets, orders and places of the tasks."""
    tasks = [(number, work) for number, one in enumerate(jobs) for work in one.works]
    slots = [one for one in lives for _ in range(one.slots)]
    best = 0.0
    for count in range(len(tasks) + 1):
        for order in itertools.permutations(tasks, count):
            for places in itertools.product(range(len(slots)), repeat=count):
                best = max(best, earned(jobs, order, places, slots))
    return best


def earned(jobs, order, places, slots):
    """Return the worth if each task starts as soon as its slot allows."""
    free = [one.stretches[0].begins for one in slots]
    ends = [[] for _ in jobs]
    for (number, work), place in zip(order, places, strict=True):
        [stretch] = slots[place].stretches
        free[place] = max(free[place], jobs[number].arrived) + work / stretch.speed
        if free[place] > stretch.ends:
            return 0.0
        ends[number].append(free[place])
    worth = 0.0
    for one, ended in zip(jobs, ends, strict=True):
        took = max(ended, default=math.inf) - one.arrived
        if len(ended) < len(one.works) or took > LATE_FACTOR * one.objective:
            continue
        worth += one.worth * (1 if took <= one.objective else LATE_WORTH_SHARE)
    return worth


# Multiples of a quarter, so that jobs often compete and often fit exactly.
QUARTERS = st.integers(1, 8).map(lambda count: count / 4)
JOBS = st.builds(
    OfferedJob,
    QUARTERS,
    QUARTERS,
    st.lists(QUARTERS, min_size=1, max_size=2).map(tuple),
    QUARTERS,
)
LIVES = st.builds(
    lambda speed, begins, seconds, slots: life(speed, begins, begins + seconds, slots),
    st.sampled_from([0.5, 1.0, 2.0]),
    QUARTERS,
    st.integers(1, 16).map(lambda count: count / 4),
    st.integers(1, 2),
)


def has_few_slots(lives):
    return sum(one.slots for one in lives) <= 2


class TestEverySchedule:
    @given(
        st.lists(JOBS, min_size=1, max_size=2),
        st.lists(LIVES, min_size=1, max_size=2).filter(has_few_slots),
    )
    def test_no_schedule_earns_more_than_the_bound(self, jobs, lives):
        bound = share(*jobs, lives=lives) * sum(one.worth for one in jobs)
        assert best_schedule(jobs, lives) <= bound + 1e-9

    @given(
        st.lists(
            st.builds(job, QUARTERS, QUARTERS, QUARTERS, QUARTERS),
            min_size=3,
            max_size=4,
        ),
        LIVES.filter(lambda one: one.slots == 1),
    )
    def test_no_order_at_one_slot_earns_more_than_the_bound(self, jobs, only):
        bound = share(*jobs, lives=[only]) * sum(one.worth for one in jobs)
        assert best_schedule(jobs, [only]) <= bound + 1e-9


def capacity(*events, **changes):
    return capacity_of(structs.replace(LOAD, events=list(events), **changes))


class TestCapacity:
    @pytest.mark.parametrize(
        "event, work",
        [
            (Slow(at=1, seconds=2, factor=4.0), 4 * (10 + 8 + 2 / 4)),
            (Stalled(at=1, seconds=2), 4 * (10 + 8)),
            (Failing(at=1, seconds=2), 4 * 20),
            (UpstreamLost(at=1, seconds=2), 4 * (10 + 8)),
            (Leaving(at=1, notice=2, seconds=3), 4 * (10 + 7)),
            (AllLost(at=1, seconds=3), 4 * (8 + 8)),
        ],
    )
    def test_event_takes_room(self, event, work):
        assert capacity(event).work(0, 10) == pytest.approx(work, rel=0.01)

    def test_speeds_and_slowest_give_each_upstream_its_speed(self):
        assert capacity(speeds=[1.2, 0.5]).longest_run(0, 1) == pytest.approx(
            1.2, rel=0.01
        )
        assert capacity(slowest=2.0).work(0, 10) == pytest.approx(
            4 * (10 + 5), rel=0.01
        )

    def test_one_run_does_not_continue_in_the_next_life(self):
        lost = UpstreamLost(at=1, seconds=1)
        assert capacity(lost, agents=1).longest_run(0, 4) == pytest.approx(2)

    def test_order_of_restored_speeds_is_not_relied_on_after_an_overlap(self):
        events = Stalled(at=1, seconds=2), Slow(at=2, seconds=4, factor=2.0)
        assert capacity(*events).work(0, 10) >= 4 * 20

    def test_late_orders_may_run_while_all_agents_are_lost(self):
        events = AllLost(at=1, seconds=3), Unanswered(at=0, upstreams=2, seconds=1)
        assert capacity(*events).work(0, 10) >= 4 * 20

    def test_crashing_tasks_may_start_slow_upstreams_anew(self):
        kinds = [Kind("check", 1, 2, 0.1, crashing=0.1)]
        slow = Slow(at=1, seconds=2)
        assert capacity(slow, kinds=kinds).work(0, 10) >= 4 * 20


class TestReplay:
    @pytest.mark.parametrize(
        "changes",
        [
            {"load": 2.0},
            {"speeds": [0.5, 1.2], "events": [Burst(at=0, seconds=1, factor=3.0)]},
            {"events": [AllLost(at=0.5, seconds=1.0)]},
        ],
    )
    def test_replay_earns_no_more_than_its_bound(self, changes):
        kinds = [Kind("check", 1, 8, 0.12, worth=3.0), Kind("view", 3, 2, 0.4)]
        load = Load(kinds, **{"seconds": 2.0, "entries": 2, "agents": 2, **changes})
        outcome = replay_with_bound(load, JobPolicy(), 1)
        assert 0 < outcome.total.share_earned() <= outcome.bound <= 1

    def test_jobs_offered_are_those_counted_with_all_their_tasks(self):
        load = structs.replace(LOAD, load=3.0, seconds=1.0, entries=1)
        outcome = replay(load, JobPolicy(), 1)
        jobs = offered_jobs(load, outcome, 1)
        assert outcome.total.refusals
        assert len(jobs) == outcome.total.count
        assert [len(one.works) for one in jobs] == [one.tasks for one in outcome.calls]
        assert all(min(one.works) > 0 for one in jobs)
