import random

import pytest

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.upstream_speed import MIN_RUNS, UpstreamSpeed
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import job


def measured(ratio, runs, seed=1):
    """Return the speed after runs that take ``ratio`` times their estimate."""
    rng = random.Random(seed)
    speed = UpstreamSpeed()
    for _ in range(runs):
        speed.record_run(0.2, 0.2 * ratio * rng.lognormvariate(0, 0.44), 1.0)
    return speed


class TestUpstreamSpeed:
    def test_is_unknown_after_few_runs(self):
        assert measured(2.0, MIN_RUNS - 1).slowness_percent() == 0
        assert measured(2.0, MIN_RUNS).slowness_percent() > 0

    def test_tells_a_slow_upstream_from_a_fast_one_by_its_first_runs(self):
        for seed in range(20):
            slow, fast = measured(1 / 0.55, MIN_RUNS, seed), measured(1 / 1.2, MIN_RUNS)
            assert slow.slowness_percent() >= 1.3 * fast.slowness_percent()

    def test_single_run_has_bounded_effect(self):
        speed = measured(1.0, 200)
        before = speed.slowness_percent()
        speed.record_run(0.2, 60.0, 1.0)
        assert speed.slowness_percent() < 1.3 * before

    @pytest.mark.parametrize("estimate, ran", [(0.0, 1.0), (0.2, 0.0)])
    def test_run_without_a_known_time_is_ignored(self, estimate, ran):
        speed = UpstreamSpeed()
        speed.record_run(estimate, ran, 1.0)
        assert speed.runs == 0


class TestColdUpstream:
    def test_runs_of_the_cold_time_are_ignored(self):
        """Guards against a speed that includes the factor for the cold time."""
        speed = UpstreamSpeed()
        speed.record_cold(2.0, now=10.0)
        speed.record_run(0.2, 0.9, started_at=11.9)
        speed.record_run(0.2, 0.2, started_at=12.0)
        assert speed.runs == 1

    def test_cold_time_runs_down(self):
        speed = UpstreamSpeed()
        speed.record_cold(2.0, now=10.0)
        assert (speed.cold_ms(10.5), speed.cold_ms(13.0)) == (1500, 0)


class TestLives:
    async def serve(self, fleet):
        """Run enough jobs for the speed of the only upstream to be known."""
        for number in range(MIN_RUNS // 8 + 1):
            answer = await fleet.submit("entry-1", job(f"a-{number}", 8))
            assert answer.outcome is JobOutcome.SUCCEEDED

    async def reported(self, fleet):
        """Return the slowness that the entry knows, after some messages."""
        # A job makes the agent and the entry exchange messages.
        name = f"last-{len(fleet.history)}"
        await fleet.submit("entry-1", job(name, 1, 0.01))
        [link] = fleet.entries["entry-1"].links.links.values()
        return link.room.slowness_percent

    def test_new_life_of_the_upstream_has_an_unknown_speed(self):
        async def main(fleet):
            await self.serve(fleet)
            assert await self.reported(fleet) > 0
            fleet.upstreams["agent-1"].crash()
            fleet.restart_upstream("agent-1")
            fleet.agents["agent-1"].receive_report()
            assert await self.reported(fleet) == 0

        run_fleet(main, agents=1, entries=1)

    def test_restarted_agent_does_not_know_the_speed(self):
        async def main(fleet):
            await self.serve(fleet)
            fleet.agents["agent-1"].kill()
            fleet.start_agent("agent-1")
            assert await self.reported(fleet) == 0

        run_fleet(main, agents=1, entries=1)
