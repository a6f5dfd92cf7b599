"""Runs whose stop orders get no answer while the upstream answers all other orders."""

import pytest
import trio

from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.lease_terms import (
    UPSTREAM_LEASE_EXPIRY_SECONDS,
    UPSTREAM_LEASE_SECONDS,
)
from bergamotcourse.protocol.upstream_orders import EndKind
from bergamotcourse.state.job_spec import job_id_of_task
from bergamotcourse.tests.jobs.chaos import CALLER_RETRY_SECONDS
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of, submit_all_the_time
from bergamotcourse.virtual.job_fleet import QUEUE, job

LONG_SECONDS = 6.0

CALLER_TIMEOUT_SECONDS = 0.6
"""Timeout of a caller whose job takes longer."""

UNANSWERED_SECONDS = 2.5
"""Longer than the time after which the task may start elsewhere."""

START_SECONDS = 0.02
"""Longest time from a job's arrival to its start at an upstream with room."""

WAIT_LIMIT_SECONDS = 5.0
"""Limit on what a test waits for, so that it fails and does not hang."""

BRIEFLY_UNANSWERED_SECONDS = 0.3
"""Shorter than what is left of a lease."""


def lose_stops(fleet, name, seconds):
    """Lose the stop orders for the runs of a job, for a time after the first one.

    Returns:
        The times of all these orders, which grows.
    """
    times = []

    def lossy(carry_out):
        def stop(key, token):
            if job_id_of_task(key.task) != name:
                return carry_out(key, token)
            times.append(trio.current_time())
            if times[-1] - times[0] < seconds:
                return None
            return carry_out(key, token)

        return stop

    for upstream in fleet.upstreams.values():
        upstream.stop = lossy(upstream.stop)
    return times


async def wait_for(events):
    """Wait until a list is not empty."""
    with trio.fail_after(WAIT_LIMIT_SECONDS):
        while not events:
            await trio.sleep(0.001)


async def start_long_job(fleet, seconds=30.0):
    """Submit a long job at the first entry, and wait until it runs."""
    spec = job("a", tasks=1, work=LONG_SECONDS, estimate=0.3)
    fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, seconds)
    await wait_for(fleet.history)


async def resubmit(fleet):
    """Submit the long job to the other entry, as its caller does."""
    spec = job("a", tasks=1, work=LONG_SECONDS)
    fleet.nursery.start_soon(fleet.submit, "entry-2", spec, QUEUE, 30.0)
    await trio.sleep(1.0)


def lapsed_load(fleet):
    """Return the runs of other jobs that their upstream's lease has ended."""
    return [
        run
        for run in fleet.history
        if run.kind is EndKind.LAPSED and job_id_of_task(run.key.task) != "a"
    ]


class TestWithdrawnRun:
    @pytest.mark.parametrize("busy", [False, True])
    def test_has_ended_when_its_caller_submits_the_job_again(self, busy):
        """Guards against a lease that is renewed for a run that must end."""

        async def main(fleet):
            lose_stops(fleet, "a", UNANSWERED_SECONDS)
            await start_long_job(fleet, CALLER_TIMEOUT_SECONDS)
            if busy:
                fleet.nursery.start_soon(submit_all_the_time, fleet, "entry-2", 2, 0.05)
            await trio.sleep(CALLER_TIMEOUT_SECONDS + CALLER_RETRY_SECONDS)
            assert [run.kind for run in runs_of(fleet, "a")] == [EndKind.LAPSED]
            await resubmit(fleet)
            assert fleet.overlaps() == []

        run_fleet(main)

    def test_ends_no_other_run_if_a_later_order_is_answered(self):
        """Guards against other runs that end as one stop order was lost."""

        async def main(fleet):
            lose_stops(fleet, "a", BRIEFLY_UNANSWERED_SECONDS)
            await start_long_job(fleet, CALLER_TIMEOUT_SECONDS)
            fleet.nursery.start_soon(submit_all_the_time, fleet, "entry-2", 2, 0.05)
            await trio.sleep(CALLER_TIMEOUT_SECONDS + CALLER_RETRY_SECONDS)
            assert [run.kind for run in runs_of(fleet, "a")] == [EndKind.STOPPED]
            assert lapsed_load(fleet) == []

        run_fleet(main)

    def test_lets_other_runs_start_on_the_lease_in_force(self):
        """Guards against starts that wait for a stop order, or extend the lease."""

        async def main(fleet):
            orders = lose_stops(fleet, "a", UNANSWERED_SECONDS)
            await start_long_job(fleet, CALLER_TIMEOUT_SECONDS)
            upstream = fleet.upstreams["agent-1"]
            await wait_for(orders)
            lease_until = upstream.lease_until
            begun_at = trio.current_time()
            await fleet.submit("entry-2", job("b", tasks=1, work=0.05))
            (run,) = runs_of(fleet, "b")
            assert run.started_at - begun_at < START_SECONDS
            assert run.kind is EndKind.DONE
            assert upstream.lease_until == lease_until

        run_fleet(main, agents=1)

    def test_lets_nothing_start_on_a_lease_that_is_about_to_expire(self):
        """Guards against runs that start only to lapse."""

        async def main(fleet):
            orders = lose_stops(fleet, "a", UNANSWERED_SECONDS)
            await start_long_job(fleet, CALLER_TIMEOUT_SECONDS)
            await wait_for(orders)
            await trio.sleep(UPSTREAM_LEASE_SECONDS / 2)
            answer = await fleet.submit("entry-2", job("b", tasks=1, work=2.0))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert [run.kind for run in runs_of(fleet, "b")] == [EndKind.DONE]

        run_fleet(main, agents=1)


class TestRunOfLostEntry:
    @pytest.mark.parametrize("fault", ["kill", "freeze"])
    def test_has_ended_when_its_caller_submits_the_job_again(self, fault):
        """Guards against stops after the loss of contact that outlast the lease."""

        async def main(fleet):
            lose_stops(fleet, "a", UNANSWERED_SECONDS)
            await start_long_job(fleet)
            fleet.nursery.start_soon(submit_all_the_time, fleet, "entry-2", 2, 0.05)
            getattr(fleet.entries["entry-1"], fault)()
            await trio.sleep(CALLER_RETRY_SECONDS)
            await resubmit(fleet)
            assert fleet.overlaps() == []

        run_fleet(main)

    @pytest.mark.parametrize("entry_lost", [False, True])
    def test_has_ended_although_its_agent_restarts(self, entry_lost):
        """Guards against a new agent process that renews what its entry withdrew."""

        async def main(fleet):
            lose_stops(fleet, "a", UNANSWERED_SECONDS)
            await start_long_job(fleet, CALLER_TIMEOUT_SECONDS)
            fleet.nursery.start_soon(submit_all_the_time, fleet, "entry-2", 2, 0.05)
            await trio.sleep(CALLER_TIMEOUT_SECONDS)
            if entry_lost:
                fleet.entries["entry-1"].kill()
            for name in list(fleet.agents):
                fleet.agents[name].kill()
                fleet.start_agent(name)
            await trio.sleep(CALLER_RETRY_SECONDS)
            await resubmit(fleet)
            assert fleet.overlaps() == []

        run_fleet(main)


class TestUnknownRun:
    def test_does_not_keep_an_upstream_out_of_use_until_its_stop_is_answered(self):
        """Guards against starts that wait although the lease has ended all runs."""

        async def main(fleet):
            lose_stops(fleet, "a", UNANSWERED_SECONDS)
            fleet.agents["agent-1"].kill()
            fleet.nursery.start_soon(
                fleet.submit, "entry-1", job("a", tasks=1, work=2.0)
            )
            await trio.sleep(0.05)
            fleet.start_agent("agent-1")
            started_at = trio.current_time()
            await trio.sleep(UPSTREAM_LEASE_EXPIRY_SECONDS + 0.1)
            (run,) = runs_of(fleet, "a")
            assert run.key.number == 2
            assert run.started_at - started_at > UPSTREAM_LEASE_EXPIRY_SECONDS
            answer = await fleet.submit("entry-2", job("b", tasks=1, work=0.4))
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=1)


class TestRunOfUnreachableEntry:
    def test_has_ended_when_its_entry_places_the_task_elsewhere(self):
        """Guards against two runs where an entry and an agent don't hear each other."""

        async def main(fleet):
            lose_stops(fleet, "a", UNANSWERED_SECONDS)
            await start_long_job(fleet)
            fleet.nursery.start_soon(submit_all_the_time, fleet, "entry-2", 2, 0.05)
            (run,) = runs_of(fleet, "a")
            agent = run.upstream.removeprefix("upstream-").rpartition("-")[0]
            fleet.network.cut("tcp://entry-1", f"tcp://{agent}")
            fleet.network.cut(f"tcp://{agent}", "tcp://entry-1")
            await trio.sleep(2.0)
            assert len(runs_of(fleet, "a")) == 2
            assert fleet.overlaps() == []

        run_fleet(main)


class TestRunThatIsMoved:
    """Its entry waits for its end before it places the task elsewhere."""

    @staticmethod
    async def move_long_run(fleet):
        """Let the upstream of a long run announce that it leaves before it can end."""
        orders = lose_stops(fleet, "a", UNANSWERED_SECONDS)
        await start_long_job(fleet, CALLER_TIMEOUT_SECONDS * 2)
        (run,) = runs_of(fleet, "a")
        agent = run.upstream.removeprefix("upstream-").rpartition("-")[0]
        fleet.nursery.start_soon(
            fleet.submit, "entry-2", job("b", tasks=30, work=1.0), QUEUE, 30.0
        )
        await trio.sleep(0.1)
        fleet.drain_upstream(agent, 4.0)
        await wait_for(orders)

    def test_ends_no_other_run(self):
        """Guards against a lease that lapses though no task waits for that."""

        async def main(fleet):
            await self.move_long_run(fleet)
            await trio.sleep(0.9)
            assert lapsed_load(fleet) == []
            assert [run.ended_at for run in runs_of(fleet, "a")] == [None]

        run_fleet(main)

    def test_has_ended_when_its_caller_submits_the_job_again(self):
        """Guards against a withdrawal that is ignored as a stop is under way."""

        async def main(fleet):
            await self.move_long_run(fleet)
            await trio.sleep(2 * CALLER_TIMEOUT_SECONDS + CALLER_RETRY_SECONDS)
            await resubmit(fleet)
            assert fleet.overlaps() == []

        run_fleet(main)
