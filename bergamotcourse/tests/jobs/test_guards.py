"""Each guard against overlapping runs, switched off alone, lets two runs overlap."""

import trio

from bergamotcourse.coordination.jobs import agent_link, entry_contact, upstream_life
from bergamotcourse.coordination.jobs.entry_contact import EntryContact
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.protocol.task_messages import Outcome, TaskEnded
from bergamotcourse.protocol.upstream_orders import StartVerdict
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job
from bergamotcourse.virtual.pause import VirtualTimers

RESEND_SECONDS = 1.3
LONG = job("a", tasks=8, work=4.0)
QUEUE_AND_TIME = (QUEUE, 30.0)


async def entry_killed(fleet):
    """An entry is killed; its caller sends the job again to another."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG, *QUEUE_AND_TIME)
    await trio.sleep(0.5)
    fleet.entries["entry-1"].kill()
    await trio.sleep(RESEND_SECONDS)
    fleet.nursery.start_soon(fleet.submit, "entry-2", LONG, *QUEUE_AND_TIME)
    await trio.sleep(2.0)
    return fleet.overlaps()


async def all_killed(fleet):
    """An entry and all agents are killed, and the agents do not come back soon."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG, *QUEUE_AND_TIME)
    await trio.sleep(0.5)
    fleet.entries["entry-1"].kill()
    for agent in list(fleet.agents):
        fleet.agents[agent].kill()
    for upstream in list(fleet.upstreams):
        fleet.start_agent(upstream)
    await trio.sleep(RESEND_SECONDS)
    fleet.nursery.start_soon(fleet.submit, "entry-2", LONG, *QUEUE_AND_TIME)
    await trio.sleep(2.0)
    return fleet.overlaps()


async def agent_cut(fleet):
    """An agent is cut off from the entry whose tasks it runs."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG, *QUEUE_AND_TIME)
    await trio.sleep(0.5)
    fleet.network.cut("tcp://entry-1", "tcp://agent-1")
    fleet.network.cut("tcp://agent-1", "tcp://entry-1")
    await trio.sleep(3.0)
    return fleet.overlaps()


async def agent_frozen(fleet):
    """An agent is suspended with a placement in its buffer, while its entry goes on."""
    agent = fleet.agents["agent-1"]
    agent.freeze()
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG, *QUEUE_AND_TIME)
    await trio.sleep(1.6)
    agent.thaw()
    await trio.sleep(1.0)
    return fleet.overlaps()


async def agent_restarted(fleet):
    """An agent's process is replaced at once; its upstream runs on."""
    fleet.nursery.start_soon(fleet.submit, "entry-1", LONG, *QUEUE_AND_TIME)
    await trio.sleep(0.5)
    fleet.agents["agent-1"].kill()
    fleet.report_seconds = 0.02
    fleet.start_agent("agent-1")
    await trio.sleep(1.0)
    return fleet.overlaps()


async def start_lost(fleet):
    """Orders to start get no answer; they are carried out seconds later."""
    for upstream in fleet.upstreams.values():
        upstream.behaviour.unanswered = 0.5
    short = job("a", tasks=8, work=3.0)
    fleet.nursery.start_soon(fleet.submit, "entry-1", short, *QUEUE_AND_TIME)
    await trio.sleep(9.0)
    return fleet.overlaps()


class TestWithAllGuards:
    def test_nothing_overlaps(self):
        for scenario in (
            entry_killed,
            all_killed,
            agent_cut,
            agent_frozen,
            agent_restarted,
            start_lost,
        ):
            assert run_fleet(scenario) == [], scenario.__name__


class TestWithout:
    def test_the_contact_lease(self, monkeypatch):
        monkeypatch.setattr(EntryContact, "has_lease", lambda self, now: True)
        assert run_fleet(entry_killed)

    def test_the_upstream_lease(self, monkeypatch):
        def renew(self, now):
            return now + self.clock_lead + 100.0

        monkeypatch.setattr(upstream_life.UpstreamLife, "renew", renew)
        monkeypatch.setattr(
            "bergamotcourse.standins.order_upstream.MOST_LEASE_SECONDS", 100.0
        )
        assert run_fleet(all_killed)

    def test_the_wait_until_the_runs_of_a_silent_agent_are_over(self, monkeypatch):
        monkeypatch.setattr(agent_link, "OVER_SECONDS", 0.3)
        assert run_fleet(agent_cut)

    def test_a_contact_lease_shorter_than_that_wait(self, monkeypatch):
        monkeypatch.setattr(entry_contact, "CONTACT_SECONDS", 2.0)
        assert run_fleet(agent_cut)

    def test_a_clock_that_counts_suspensions(self, monkeypatch):
        """Measured on a clock that stands still, old contact looks alive on thaw."""
        original = VirtualTimers.lease_now
        frozen_since, lost = {}, {}

        def lease_now(self):
            now = original(self)
            if self.pause.frozen:
                now = frozen_since.setdefault(self, now)
            elif self in frozen_since:
                lost[self] = now - frozen_since.pop(self)
            return now - lost.get(self, 0.0)

        monkeypatch.setattr(VirtualTimers, "lease_now", lease_now)
        assert run_fleet(agent_frozen)

    def test_barring_what_a_former_process_may_have_started(self, monkeypatch):
        def withdraw(self, entry, key):
            run = self.book.runs.get(key)
            if run is not None:
                self._stop(run, "withdrawn")
                return
            self.book.report_end(entry, TaskEnded(key, Outcome.RETURNED))

        monkeypatch.setattr(Executor, "withdraw", withdraw)
        assert run_fleet(agent_restarted)

    def test_barring_a_start_that_had_no_answer(self, monkeypatch):
        def take_verdict(self, run, verdict):
            if verdict is StartVerdict.UNKNOWN:
                self.book.finish(run, Outcome.RETURNED, "no answer")
            else:
                original(self, run, verdict)

        def long_renew(self, now):
            return now + self.clock_lead + 100.0

        original = Executor._take_verdict
        monkeypatch.setattr(Executor, "_take_verdict", take_verdict)
        monkeypatch.setattr(upstream_life.UpstreamLife, "renew", long_renew)
        assert run_fleet(start_lost)
