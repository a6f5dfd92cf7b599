"""No two runs of a task overlap, whatever fails."""

import pytest
import trio

from bergamotcourse.coordination.jobs import lease_terms
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.tests.jobs.chaos import CALLER_RETRY_SECONDS, Chaos
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import job


async def resend(fleet, spec, entry):
    """Resend a job like a caller whose connection has just broken."""
    await trio.sleep(CALLER_RETRY_SECONDS)
    return await fleet.submit(entry, spec)


class TestLeaseTerms:
    def test_leases_expire_before_a_caller_resends(self):
        assert lease_terms.ALL_RUNS_ENDED_SECONDS < CALLER_RETRY_SECONDS

    def test_leases_outlast_lost_heartbeats_and_renewals(self):
        assert lease_terms.CONTACT_LEASE_SECONDS >= 3 * lease_terms.HEARTBEAT_SECONDS
        renewals = lease_terms.UPSTREAM_LEASE_SECONDS / lease_terms.HOLD_TIMEOUT_SECONDS
        assert renewals >= 3


class TestLostEntry:
    def test_killed_runs_end_before_the_caller_resends(self):
        async def main(fleet):
            spec = job("a", tasks=6, work=2.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.5)
            fleet.entries["entry-1"].kill()
            answer = await resend(fleet, spec, "entry-2")
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert len(fleet.history) == 12
            assert fleet.overlaps() == []

        run_fleet(main)

    def test_killed_with_all_agents_runs_end_with_the_upstream_lease(self):
        """The agents cannot stop the runs: the upstreams' leases have to expire."""

        async def main(fleet):
            spec = job("a", tasks=6, work=2.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.5)
            fleet.entries["entry-1"].kill()
            for name in list(fleet.agents):
                fleet.agents[name].kill()
                fleet.start_agent(name)
            answer = await resend(fleet, spec, "entry-2")
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main)

    def test_frozen_entry_places_nothing_in_its_former_session(self):
        async def main(fleet):
            spec = job("a", tasks=6, work=1.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.5)
            fleet.entries["entry-1"].freeze()
            answer = await resend(fleet, spec, "entry-2")
            assert answer.outcome is JobOutcome.SUCCEEDED
            fleet.nursery.start_soon(fleet.submit, "entry-2", job("b", 6, 2.0))
            await trio.sleep(0.2)
            fleet.entries["entry-1"].thaw()
            await trio.sleep(3.0)
            assert fleet.overlaps() == []

        run_fleet(main)


class TestLostAgent:
    def test_killed_tasks_run_elsewhere_after_lease_expiry(self):
        async def main(fleet):
            spec = job("a", tasks=4, work=1.0)
            begun = trio.current_time()
            fleet.nursery.start_soon(self.kill_agent, fleet, "agent-1")
            answer = await fleet.submit("entry-1", spec)
            assert answer.outcome is JobOutcome.SUCCEEDED
            lost = fleet.upstreams["agent-1"].id
            again = [run for run in fleet.history if run.upstream == lost]
            assert again
            assert len(fleet.history) == 4 + len(again)
            assert fleet.overlaps() == []
            deadline = 0.3 + lease_terms.ALL_RUNS_ENDED_SECONDS + 1.0
            assert answer.at - begun < deadline + 0.1

        run_fleet(main)

    def test_killed_and_restarted_at_once_no_run_overlaps(self):
        async def main(fleet):
            spec = job("a", tasks=4, work=1.0)
            fleet.nursery.start_soon(self.kill_agent, fleet, "agent-1", 0.02)
            answer = await fleet.submit("entry-1", spec)
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main)

    @pytest.mark.parametrize(("downtime", "ended"), [(0.05, 0), (2.0, 4)])
    def test_restarted_idle_agent_acknowledges_earlier_ends(self, downtime, ended):
        async def main(fleet):
            fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", 4, 1.0))
            await trio.sleep(0.3)
            fleet.agents["agent-1"].kill()
            fleet.entries["entry-1"].kill()
            await trio.sleep(downtime)
            assert len(fleet.upstreams["agent-1"].ended) == ended
            fleet.start_agent("agent-1")
            await trio.sleep(2.0)
            assert fleet.upstreams["agent-1"].ended == []

        run_fleet(main, agents=1)

    def test_resumed_agent_without_contact_does_not_renew_the_lease(self):
        """Contact has ended during a pause; the next hold must not renew the lease."""

        async def main(fleet):
            fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", 4, 3.0))
            await trio.sleep(0.5)
            fleet.agents["agent-1"].executor.may_start = lambda entry: False
            lapses_by = trio.current_time() + lease_terms.UPSTREAM_LEASE_EXPIRY_SECONDS
            await trio.sleep(2.0)
            assert len(fleet.history) == 4
            assert all(run.ended_at < lapses_by for run in fleet.history)

        run_fleet(main, agents=1)

    @pytest.mark.parametrize("downtime", [0.05, 0.5, 1.0])
    def test_restarted_agent_does_not_report_earlier_runs_as_not_run(self, downtime):
        async def main(fleet):
            answers = []

            async def submit():
                answers.append(await fleet.submit("entry-1", job("a", 4, 1.0)))

            fleet.nursery.start_soon(submit)
            await trio.sleep(0.3)
            assert len(fleet.history) == 4
            fleet.agents["agent-1"].kill()
            fleet.upstreams["agent-1"].draining = True
            await trio.sleep(downtime)
            fleet.start_agent("agent-1")
            while not answers:
                await trio.sleep(0.1)
            assert answers[0].outcome is JobOutcome.TIMED_OUT

        run_fleet(main, agents=1)

    @pytest.mark.parametrize("seconds", [0.2, 0.5, 0.9, 2.0])
    def test_frozen_agent_overlaps_no_run(self, seconds):
        async def main(fleet):
            spec = job("a", tasks=8, work=1.0)
            agent = fleet.agents["agent-1"]

            async def freeze():
                await trio.sleep(0.3)
                agent.freeze()
                await trio.sleep(seconds)
                agent.thaw()

            fleet.nursery.start_soon(freeze)
            answer = await fleet.submit("entry-1", spec)
            assert answer.outcome is JobOutcome.SUCCEEDED
            await trio.sleep(3.0)
            assert fleet.overlaps() == []

        run_fleet(main)

    @pytest.mark.parametrize("both_ways", [True, False])
    def test_agent_cut_from_its_entry_overlaps_no_run(self, both_ways):
        async def main(fleet):
            spec = job("a", tasks=8, work=2.0)
            entry, agent = "tcp://entry-1", "tcp://agent-1"

            async def cut():
                await trio.sleep(0.3)
                fleet.network.cut(entry, agent)
                if both_ways:
                    fleet.network.cut(agent, entry)
                await trio.sleep(3.0)
                fleet.network.heal(entry, agent)
                fleet.network.heal(agent, entry)

            fleet.nursery.start_soon(cut)
            answer = await fleet.submit("entry-1", spec, seconds=8.0)
            assert answer.outcome is JobOutcome.SUCCEEDED
            await trio.sleep(3.0)
            assert fleet.overlaps() == []

        run_fleet(main)

    async def kill_agent(self, fleet, name, back_after=None):
        await trio.sleep(0.3)
        fleet.agents[name].kill()
        if back_after is not None:
            await trio.sleep(back_after)
            fleet.start_agent(name)


class TestLostUpstream:
    def test_tasks_of_a_crashed_upstream_run_elsewhere(self):
        async def main(fleet):
            spec = job("a", tasks=8, work=1.0)

            async def crash():
                await trio.sleep(0.3)
                fleet.upstreams["agent-1"].crash()
                await trio.sleep(1.0)
                fleet.start_upstream("agent-1")

            fleet.nursery.start_soon(crash)
            answer = await fleet.submit("entry-1", spec, seconds=8.0)
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main)

    def test_upstream_cut_from_its_agent_overlaps_no_run(self):
        async def main(fleet):
            spec = job("a", tasks=8, work=1.5)

            async def cut():
                await trio.sleep(0.3)
                fleet.cut_upstreams.add("agent-1")
                await trio.sleep(2.0)
                fleet.cut_upstreams.clear()

            fleet.nursery.start_soon(cut)
            answer = await fleet.submit("entry-1", spec, seconds=8.0)
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main)

    @pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0])
    def test_silent_upstream_is_used_again_after_it_answers(self, seconds):
        async def main(fleet):
            fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", work=1.0))
            await trio.sleep(0.3)
            fleet.cut_upstreams.add("agent-1")
            await trio.sleep(seconds)
            fleet.cut_upstreams.clear()
            await trio.sleep(2.0)
            answer = await fleet.submit("entry-1", job("b"))
            assert answer.outcome is JobOutcome.SUCCEEDED
            await trio.sleep(1.0)
            assert fleet.upstreams["agent-1"].ended == []

        run_fleet(main, agents=1)

    @pytest.mark.parametrize("restarts", [False, True])
    def test_fenced_agent_sends_no_further_holds(self, restarts):
        async def main(fleet):
            fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", work=1.0))
            await trio.sleep(0.3)
            upstream = fleet.upstreams["agent-1"]
            upstream.token = 1 << 60
            if restarts:
                fleet.agents["agent-1"].kill()
                fleet.start_agent("agent-1")
            await trio.sleep(3.0)
            holds = []
            look = upstream.handle_hold
            upstream.handle_hold = lambda *args: holds.append(args) or look(*args)
            await trio.sleep(5.0)
            assert holds == []

        run_fleet(main, agents=1)

    def test_unanswered_orders_cause_no_overlap(self):
        async def main(fleet):
            for upstream in fleet.upstreams.values():
                upstream.behaviour.unanswered = 0.15
            for number in range(20):
                spec = job(f"j{number}", tasks=6, work=0.2)
                await fleet.submit(f"entry-{number % 2 + 1}", spec)
            await trio.sleep(7.0)
            assert fleet.overlaps() == []

        run_fleet(main)


class TestDraining:
    def test_draining_upstream_starts_no_run(self):
        async def main(fleet):
            upstream = fleet.upstreams["agent-1"]
            upstream.draining = True
            await trio.sleep(1.6)
            for number in range(5):
                await fleet.submit("entry-1", job(f"j{number}", tasks=8, work=0.1))
            assert upstream.id not in {run.upstream for run in fleet.history}

        run_fleet(main)


class TestRandomFaults:
    @pytest.mark.parametrize("keeps_ids", [False, True])
    @pytest.mark.parametrize("seed", range(12))
    def test_no_run_overlaps_and_jobs_succeed_afterwards(self, seed, keeps_ids):
        async def main(fleet):
            chaos = Chaos(fleet, seed, keeps_ids)
            for upstream in fleet.upstreams.values():
                upstream.behaviour.unanswered = 0.03 if seed % 2 else 0.0
            await chaos.run()
            assert fleet.overlaps() == []
            assert chaos.refused_and_ran() == set()
            assert chaos.returned_and_ran() == set()
            for upstream in fleet.upstreams.values():
                upstream.behaviour.unanswered = 0.0
            await trio.sleep(8.0)
            answer = await fleet.submit("entry-1", job("last", tasks=8))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main, seed=seed, agents=4, entries=2)
