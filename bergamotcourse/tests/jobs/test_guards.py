"""Each guard against overlapping runs is necessary: without it, two runs overlap."""

import trio

from bergamotcourse.coordination.jobs import agent_link, entry_contact, upstream_life
from bergamotcourse.coordination.jobs.entry_contact import EntryContact
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.protocol.task_messages import RunOutcome, TaskEnded
from bergamotcourse.protocol.upstream_orders import StartVerdict
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job
from bergamotcourse.virtual.pause import VirtualTimers

CALLER_RESEND_SECONDS = 1.3
LONG_JOB = job("a", tasks=8, work=4.0)
QUEUE_AND_TIMEOUT = (QUEUE, 30.0)


async def kill_entry_with_work(fleet):
    """Kill the first entry while it has a job in progress."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG_JOB, *QUEUE_AND_TIMEOUT)
    await trio.sleep(0.5)
    fleet.entries["entry-1"].kill()


async def resend(fleet):
    """Send the job to another entry as its caller does; return the overlapping runs."""
    await trio.sleep(CALLER_RESEND_SECONDS)
    fleet.nursery.start_soon(fleet.submit, "entry-2", LONG_JOB, *QUEUE_AND_TIMEOUT)
    await trio.sleep(2.0)
    return fleet.overlaps()


async def entry_killed(fleet):
    """An entry is killed; its caller resends the job to another entry."""
    await kill_entry_with_work(fleet)
    return await resend(fleet)


async def all_killed(fleet):
    """An entry and all agents are killed; only the upstreams' leases end the runs."""
    await kill_entry_with_work(fleet)
    for agent in list(fleet.agents):
        fleet.agents[agent].kill()
    for upstream in list(fleet.upstreams):
        fleet.start_agent(upstream)
    return await resend(fleet)


async def entry_and_its_agents_lost(fleet):
    """An entry and the agents of its runs are killed, and these agents stay away."""
    await kill_entry_with_work(fleet)
    for agent, upstream in fleet.upstreams.items():
        if upstream.running:
            fleet.agents[agent].kill()
    return await resend(fleet)


async def entry_and_agents_killed_under_load(fleet):
    """An entry and all agents are killed, and another entry has work for the agents."""
    await kill_entry_with_work(fleet)
    for agent in list(fleet.agents):
        fleet.agents[agent].kill()
        fleet.start_agent(agent)
    for number in range(4):
        spec = job(f"load-{number}", tasks=8, work=1.0)
        fleet.nursery.start_soon(fleet.submit, "entry-2", spec, *QUEUE_AND_TIMEOUT)
    return await resend(fleet)


async def agent_cut(fleet):
    """An agent is cut off from the entry whose tasks it runs."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG_JOB, *QUEUE_AND_TIMEOUT)
    await trio.sleep(0.5)
    fleet.network.cut("tcp://entry-1", "tcp://agent-1")
    fleet.network.cut("tcp://agent-1", "tcp://entry-1")
    await trio.sleep(3.0)
    return fleet.overlaps()


async def agent_frozen(fleet):
    """An agent is suspended with a placement in its buffer; its entry continues."""
    agent = fleet.agents["agent-1"]
    agent.freeze()
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG_JOB, *QUEUE_AND_TIMEOUT)
    await trio.sleep(1.6)
    agent.thaw()
    await trio.sleep(1.0)
    return fleet.overlaps()


async def agent_restarted(fleet):
    """An agent's process is replaced at once while its upstream continues."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG_JOB, *QUEUE_AND_TIMEOUT)
    await trio.sleep(0.5)
    fleet.agents["agent-1"].kill()
    fleet.report_seconds = 0.02
    fleet.start_agent("agent-1")
    await trio.sleep(1.0)
    return fleet.overlaps()


async def agent_restarted_beside_a_silent_upstream(fleet):
    """An agent's process is replaced, and its upstream does not answer the new one."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG_JOB, *QUEUE_AND_TIMEOUT)
    await trio.sleep(0.5)
    fleet.agents["agent-1"].kill()
    fleet.cut_upstreams.add("agent-1")
    fleet.start_agent("agent-1")
    await trio.sleep(1.0)
    return fleet.overlaps()


async def start_reply_lost(fleet):
    """Start orders get no answer; they are carried out seconds later."""
    for upstream in fleet.upstreams.values():
        upstream.behaviour.unanswered = 0.5
    short = job("a", tasks=8, work=3.0)
    fleet.nursery.start_soon(fleet.submit, "entry-1", short, *QUEUE_AND_TIMEOUT)
    await trio.sleep(9.0)
    return fleet.overlaps()


class TestWithAllGuards:
    def test_no_run_overlaps(self):
        for scenario in (
            entry_killed,
            all_killed,
            entry_and_agents_killed_under_load,
            entry_and_its_agents_lost,
            agent_cut,
            agent_frozen,
            agent_restarted,
            agent_restarted_beside_a_silent_upstream,
            start_reply_lost,
        ):
            assert run_fleet(scenario) == [], scenario.__name__


class TestRunsOverlapWithout:
    def test_the_contact_lease(self, monkeypatch):
        monkeypatch.setattr(EntryContact, "has_lease", lambda self, now: True)
        assert run_fleet(entry_killed)

    def test_the_upstream_lease(self, monkeypatch):
        def extend_lease(self, now):
            return now + self.clock_offset + 100.0

        monkeypatch.setattr(upstream_life.UpstreamLife, "extend_lease", extend_lease)
        monkeypatch.setattr(
            "bergamotcourse.standins.order_upstream.MOST_LEASE_SECONDS", 100.0
        )
        assert run_fleet(entry_and_its_agents_lost)

    def test_the_wait_until_the_runs_of_a_silent_agent_are_over(self, monkeypatch):
        monkeypatch.setattr(agent_link, "ALL_RUNS_ENDED_SECONDS", 0.3)
        assert run_fleet(agent_cut)

    def test_a_contact_lease_shorter_than_that_wait(self, monkeypatch):
        monkeypatch.setattr(entry_contact, "CONTACT_LEASE_SECONDS", 2.0)
        assert run_fleet(agent_cut)

    def test_a_lease_clock_that_counts_suspensions(self, monkeypatch):
        """If the clock stops while suspended, lost contact seems valid afterwards."""
        original = VirtualTimers.lease_now
        frozen_since, suspended = {}, {}

        def lease_now(self):
            now = original(self)
            if self.pause.frozen:
                now = frozen_since.setdefault(self, now)
            elif self in frozen_since:
                suspended[self] = now - frozen_since.pop(self)
            return now - suspended.get(self, 0.0)

        monkeypatch.setattr(VirtualTimers, "lease_now", lease_now)
        assert run_fleet(agent_frozen)

    def test_barring_runs_that_an_earlier_process_may_have_started(self, monkeypatch):
        def withdraw(self, entry, key):
            run = self.registry.runs.get(key)
            if run is not None:
                self._stop(run, "withdrawn")
                return
            self.registry.report_end(entry, TaskEnded(key, RunOutcome.RETURNED))

        monkeypatch.setattr(Executor, "withdraw", withdraw)
        assert run_fleet(agent_restarted_beside_a_silent_upstream)

    def test_stopping_unclaimed_runs(self, monkeypatch):
        """The lease that a new agent process renews covers them."""
        monkeypatch.setattr(Executor, "_stop_unclaimed_runs", lambda self, life: None)
        monkeypatch.setattr(upstream_life.UpstreamLife, "may_extend_lease", True)
        assert run_fleet(entry_and_agents_killed_under_load)

    def test_barring_a_run_whose_start_order_had_no_answer(self, monkeypatch):
        def take_verdict(self, run, verdict):
            if verdict is StartVerdict.UNKNOWN:
                self.registry.finish(run, RunOutcome.RETURNED, "no answer")
            else:
                original(self, run, verdict)

        def extend_lease_far(self, now):
            return now + self.clock_offset + 100.0

        original = Executor._handle_start_verdict
        monkeypatch.setattr(Executor, "_handle_start_verdict", take_verdict)
        monkeypatch.setattr(
            upstream_life.UpstreamLife, "extend_lease", extend_lease_far
        )
        assert run_fleet(start_reply_lost)
