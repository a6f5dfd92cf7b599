"""Refusals by forecast: whom, when, and when not."""

import random
from pathlib import Path

import pytest
import trio
from msgspec import structs

import bergamotcourse
from bergamotcourse.bench.replay.compare import interval, share_earned
from bergamotcourse.bench.replay.load_file import Kind, Load, read_load
from bergamotcourse.bench.replay.report import median_refusal
from bergamotcourse.bench.replay.run import replay
from bergamotcourse.coordination.jobs.admission_forecast import AdmissionForecast
from bergamotcourse.coordination.jobs.job_run import JobOutcome, JobRun
from bergamotcourse.coordination.jobs.placement_rate import PlacementRate
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.jobs.retry_advice import (
    MAX_RETRY_SECONDS,
    RetryAdvice,
)
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import NEEDS, QUEUE, SERVICE, job

LOADS = Path(bergamotcourse.__file__).parents[1] / "examples" / "loads"

SEEDS = range(1, 9)

NOW = 10.0
KINDS = [
    Kind("check", 0.25, 8, 0.12, worth=3.0),
    Kind("view", 0.7, 2, 0.4),
    Kind("cast", 0.05, 4, 1.8, worth=16.0),
]


def no_room(_job):
    return False


def make_forecast(tasks_per_second):
    """Return a forecast with a known rate."""
    forecast = AdmissionForecast(0.0, RetryAdvice(random.Random(1)))
    rate = forecast.rate(SERVICE)
    rate.waited_seconds = 1.0
    rate.placed_cpu = float(tasks_per_second * NEEDS.cpu)
    return forecast


def make_job(number, tasks=2, work=0.4, arrived=NOW):
    return JobRun(job(f"j{number}", tasks, work), QUEUE, arrived)


def refused_names(forecast, jobs, now=NOW, has_room=no_room):
    refused = forecast.review(jobs, {}, now, has_room)
    return [one.spec.id for one, _ in refused]


class TestRefusals:
    """An entry that gets 20 slots a second; views may wait 0.105 s for their first."""

    def test_job_behind_too_much_work_is_refused_at_once(self):
        jobs = [make_job(number) for number in range(4)]
        assert refused_names(make_forecast(20), jobs) == ["j2", "j3"]

    def test_refused_job_holds_no_room_that_lets_another_be_in_time(self):
        # The long job has 0.4 s, in which the two tasks ahead of it are placed, but
        # not the eight of the short job.
        jobs = [make_job(0), make_job(1, 8, 0.12), make_job(2, 4, 1.8)]
        assert refused_names(make_forecast(20), jobs) == ["j1"]

    def test_wide_job_is_not_refused_for_its_size(self):
        assert refused_names(make_forecast(20), [make_job(0, tasks=50)]) == []

    def test_job_that_may_have_started_is_not_refused(self):
        jobs = [make_job(number) for number in range(4)]
        jobs[3].possible_runs = 1
        assert refused_names(make_forecast(20), jobs) == ["j2"]

    def test_nothing_is_refused_while_an_agent_has_room(self):
        # Room may come back suddenly, long before the measured rate shows it.
        jobs = [make_job(number) for number in range(9)]
        assert refused_names(make_forecast(1), jobs, has_room=lambda _job: True) == []

    def test_entry_that_has_just_started_refuses_nothing(self):
        forecast = make_forecast(1)
        forecast.started_at = NOW - 0.9
        assert refused_names(forecast, [make_job(n) for n in range(9)]) == []

    def test_entry_without_a_rate_refuses_nothing(self):
        forecast = AdmissionForecast(0.0, RetryAdvice(random.Random(1)))
        assert refused_names(forecast, [make_job(n) for n in range(9)]) == []


class TestCorrection:
    """Forecasts that were wrong."""

    @pytest.mark.parametrize("waited, bound", [(0.8, 2.0), (0.0, 0.5)])
    def test_correction_follows_the_measured_wait_within_its_bounds(
        self, waited, bound
    ):
        forecast = make_forecast(20)
        for number in range(200):
            first, second = (make_job(2 * number + one, 2, 1.8) for one in (0, 1))
            refused_names(forecast, [first, second])
            first.possible_runs = second.possible_runs = 1
            refused_names(forecast, [], NOW + waited)
        assert forecast.correction(SERVICE) == pytest.approx(bound)


class TestPlacementRate:
    def run_rate(self, rate, seconds, per_step, step=0.03):
        now = rate.updated_at
        for _ in range(round(seconds / step)):
            now += step
            rate.advance(now, was_waiting=True)
            rate.record_placement(per_step)

    def test_rate_follows_a_loss_of_upstreams(self):
        rate = PlacementRate()
        self.run_rate(rate, 3.0, 300)
        assert rate.estimate(0) == pytest.approx(10_000, rel=0.05)
        self.run_rate(rate, 1.5, 150)
        assert rate.estimate(0) == pytest.approx(5_000, rel=0.1)

    def test_before_a_backlog_the_rate_is_that_of_the_running_tasks(self):
        rate = PlacementRate()
        assert rate.estimate(6_000) is None
        rate.record_run_time(0.5)
        assert rate.estimate(6_000) == pytest.approx(12_000)

    def test_pause_of_the_entry_does_not_lower_the_rate(self):
        rate = PlacementRate()
        self.run_rate(rate, 3.0, 300)
        rate.advance(rate.updated_at + 5.0, was_waiting=True)
        assert rate.estimate(0) > 7_000


class TestRetryAdvice:
    def draw_all(self, rate, cpu=1_000, count=200):
        advice = RetryAdvice(random.Random(1))
        return [advice.draw(SERVICE, cpu, 0, rate, NOW) for _ in range(count)]

    def test_callers_are_spread_over_the_time_to_serve_them(self):
        drawn = self.draw_all(rate=40_000)[100:]
        assert set(drawn) == {1.0, 2.0, 3.0, 4.0, 5.0}

    def test_times_are_bounded_and_whole(self):
        drawn = self.draw_all(rate=1.0)
        assert min(drawn) == 1.0 and max(drawn) == MAX_RETRY_SECONDS
        assert all(one == round(one) for one in drawn)

    def test_caller_returns_after_a_second_without_a_rate(self):
        assert set(self.draw_all(rate=None)) == {1.0}

    def test_small_jobs_return_in_the_earlier_half(self):
        advice = RetryAdvice(random.Random(1))
        small = []
        for _ in range(100):
            advice.draw(SERVICE, 8_000, 0, 1.0, NOW)
            small.append(advice.draw(SERVICE, 1_000, 0, 1.0, NOW))
        assert max(small) <= MAX_RETRY_SECONDS / 2

    def test_refusals_of_long_ago_do_not_count(self):
        advice = RetryAdvice(random.Random(1))
        for _ in range(100):
            advice.draw(SERVICE, 1_000, 0, 1_000.0, NOW)
        assert advice.draw(SERVICE, 1_000, 0, 1_000.0, NOW + 6.0) == 1.0


class TestFleet:
    """Entries of a fleet of two agents with room for twenty tasks."""

    async def submit_all(self, fleet, entry, count, name):
        answers = []

        async def submit_one(number):
            queue = structs.replace(QUEUE, slack_factor=1.6)
            asked = trio.current_time()
            answer = await fleet.submit(entry, job(f"{name}{number}", 2, 0.4), queue)
            answers.append((answer.outcome, answer.at - asked))

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(submit_one, number)
                await trio.sleep(0.005)
        return answers

    def test_refused_jobs_have_not_run_and_all_is_served_after_the_backlog(self):
        async def main(fleet):
            await trio.sleep(1.5)
            await self.submit_all(fleet, "entry-1", 3, "a")
            crowded = await self.submit_all(fleet, "entry-1", 200, "b")
            started = {run.key.task.split(".")[0] for run in fleet.history}
            refused = {one["request"] for one in fleet.logged("admission.refused")}
            await trio.sleep(2.0)
            later = await self.submit_all(fleet, "entry-1", 5, "c")
            return crowded, started & refused, refused, later, fleet

        crowded, both, refused, later, fleet = run_fleet(main, entries=1, agents=2)
        assert refused and not both
        assert {outcome for outcome, _ in later} == {JobOutcome.SUCCEEDED}
        assert len(fleet.logged("admission.overloaded")) == 1
        assert len(fleet.logged("admission.recovered")) == 1

    @pytest.mark.parametrize("fault", ["agents", "pause", "restart"])
    def test_all_is_served_soon_after_a_fault(self, fault):
        async def main(fleet):
            await trio.sleep(1.5)
            await self.submit_all(fleet, "entry-1", 3, "a")
            entry = fleet.entries["entry-1"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.submit_all, fleet, "entry-1", 100, "b")
                await trio.sleep(0.2)
                match fault:
                    case "agents":
                        for agent in fleet.agents.values():
                            agent.freeze()
                        await trio.sleep(2.0)
                        for agent in fleet.agents.values():
                            agent.thaw()
                    case "pause":
                        entry.freeze()
                        await trio.sleep(1.0)
                        entry.thaw()
                    case "restart":
                        entry.kill()
                        fleet.start_entry("entry-1")
            await trio.sleep(2.5)
            return await self.submit_all(fleet, "entry-1", 5, "c")

        answers = run_fleet(main, entries=1, agents=2)
        assert [outcome for outcome, _ in answers] == [JobOutcome.SUCCEEDED] * 5


class TestScarceRoom:
    """The overload load, one of those that the design names for its requirement.

    Of one seed the order of events decides the outcome. Each demand is therefore made
    of the confidence interval of the paired differences over several seeds.
    """

    def test_jobs_are_refused_sooner_and_fewer_are_late(self):
        load = read_load(str(LOADS / "overload.yaml")).ok
        policies = JobPolicy(), JobPolicy.without(["forecasts_admission"])
        pairs = [[replay(load, policy, seed) for policy in policies] for seed in SEEDS]
        time_gains = [
            median_refusal(without) - 2 * median_refusal(with_part)
            for with_part, without in pairs
        ]
        late_gains = [
            without.total.late - with_part.total.late for with_part, without in pairs
        ]
        worth_gains = [
            share_earned(with_part) - share_earned(without)
            for with_part, without in pairs
        ]
        assert interval(time_gains).low > 0
        assert interval(late_gains).low > 0
        assert interval(worth_gains).low >= 0


class TestReturns:
    def test_spreading_returns_lowers_the_peak_of_arrivals_after_a_burst(self):
        load = Load(KINDS, load=1.8, seconds=4.0, entries=2, agents=2, returns=1.0)
        policies = JobPolicy(), JobPolicy.without(["forecasts_admission"])
        spread, at_once = (
            sum(replay(load, policy, seed).peak_arrivals() for seed in (1, 2))
            for policy in policies
        )
        assert spread < at_once
