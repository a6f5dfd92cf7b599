"""Agents out of contact with an entry: message rate, handshakes and single runs."""

import pytest
import trio

from bergamotcourse.coordination.jobs import entry_contact
from bergamotcourse.coordination.jobs.entry_contact import EntryContact
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.coordination.jobs.lease_terms import (
    ALL_RUNS_ENDED_SECONDS,
    FIRST_PLACEMENT_TIMEOUT_SECONDS,
    RECENT_ENTRY_SECONDS,
)
from bergamotcourse.protocol.task_messages import EntryTurn, Hello
from bergamotcourse.protocol.upstream_orders import EndKind
from bergamotcourse.tests.jobs.chaos import Chaos
from bergamotcourse.tests.jobs.fleets import run_fleet
from bergamotcourse.virtual.job_fleet import QUEUE, job

ENTRY, AGENT = "tcp://entry-1", "tcp://agent-1"
CONTACT_LOSS_SECONDS = 2.6
"""Idle time after which no entry is in contact, but each has a recent message of every
agent."""


@pytest.fixture(autouse=True)
def low_idle_message_rate(monkeypatch):
    """Send two entries as few messages of an idle agent as if there were sixteen."""
    monkeypatch.setattr(entry_contact, "IDLE_MESSAGES_PER_SECOND", 1)


async def out_of_contact(fleet, entry="entry-1"):
    """Wait until an entry has no contact and may start a handshake with each agent."""
    await trio.sleep(CONTACT_LOSS_SECONDS)
    links = fleet.entries[entry].links
    while len(links.placement_candidates().preferred_without_contact) < len(
        fleet.agents
    ):
        await trio.sleep(0.01)


class TestPlacementWithoutContact:
    def test_task_starts_after_one_round_trip(self):
        async def main(fleet):
            await out_of_contact(fleet)
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", job("a", tasks=8))
            assert answer.outcome is JobOutcome.SUCCEEDED
            first = min(run.started_at for run in fleet.history)
            assert first - begun < 0.02

        run_fleet(main)

    def test_tasks_of_a_job_need_few_handshakes(self):
        async def main(fleet):
            await out_of_contact(fleet)
            await fleet.submit("entry-1", job("a", tasks=8))
            assert len({run.upstream for run in fleet.history}) <= 2

        run_fleet(main, agents=8)

    def test_waiting_entry_probes_agents_out_of_contact(self):
        """All agents reported no free capacity last, and have some since."""

        async def main(fleet):
            await trio.sleep(1.0)
            full = job("full", tasks=40, work=2.2)
            fleet.nursery.start_soon(fleet.submit, "entry-1", full)
            await trio.sleep(2.4)
            links = fleet.entries["entry-2"].links
            assert not any(link.free().cpu > 3100 for link in links.reachable_agents())
            begun = trio.current_time()
            answer = await fleet.submit("entry-2", job("a", tasks=8))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert answer.at - begun < 0.3

        run_fleet(main)


class TestDeadAgent:
    def test_task_is_placed_elsewhere_if_handshake_is_unanswered(self):
        async def main(fleet):
            await out_of_contact(fleet)
            for name in ("agent-1", "agent-2"):
                fleet.agents[name].kill()
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", job("a", tasks=8, work=0.2))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert (
                answer.at - begun
                < 0.2 + 3 * FIRST_PLACEMENT_TIMEOUT_SECONDS
                < ALL_RUNS_ENDED_SECONDS
            )
            assert fleet.overlaps() == []

        run_fleet(main, agents=3)

    def test_job_is_refused_as_not_run_if_no_agent_answers(self):
        async def main(fleet):
            await out_of_contact(fleet)
            fleet.agents["agent-1"].kill()
            answer = await fleet.submit("entry-1", job("a"))
            assert answer.outcome is JobOutcome.REFUSED
            assert fleet.history == []

        run_fleet(main, agents=1)


class TestSlowEntry:
    @pytest.mark.parametrize("seconds, earlier", [(0.02, 0), (0.15, 2)])
    def test_run_that_may_have_started_is_not_withdrawn_as_unstarted(
        self, seconds, earlier
    ):
        """Guards against a handshake that is started while the agent holds a lease.

        The entry last receives a message 0.40 s before it places a run: the agent is in
        contact when it is chosen, and no longer when the run is placed. If the entry
        then expects a handshake, it withdraws the run as not started once the agent
        begins a new session. But the agent has started the run by an earlier echo,
        valid for another 50 ms, and two runs of the task overlap: seen for 46 ms, the
        first stopped 99 ms after its start and the second started 53 ms after it.
        """

        async def main(fleet):
            await fleet.submit("entry-1", job("before", tasks=12))
            entry = fleet.entries["entry-1"]
            links = {link.name: link for link in entry.links.links.values()}
            if earlier:
                early = job("early", 2 * earlier, 2.0)
                fleet.nursery.start_soon(fleet.submit, "entry-1", early)
            await trio.sleep(RECENT_ENTRY_SECONDS / 2)
            fleet.network.cut(AGENT, ENTRY)
            await trio.sleep(
                links["agent-1"].last_received_at + 0.39 - trio.current_time()
            )
            links["agent-2"].handshake_unanswered = True
            delay_placement(entry, seconds)
            spec = job("a", tasks=1, work=2.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.01)
            links["agent-2"].handshake_unanswered = False
            fleet.network.heal(AGENT, ENTRY)
            await trio.sleep(2.0)
            assert any(run.kind is EndKind.STOPPED for run in fleet.history)
            assert fleet.overlaps() == []

        run_fleet(main, agents=2)


def delay_placement(entry, seconds):
    """Delay the placement of a run by some seconds after the choice of its agent."""
    candidates, now = entry.links.placement_candidates, entry.timers.now
    delay = [0.0]

    def choose():
        found = candidates()
        delay[0] = seconds
        return found

    entry.links.placement_candidates = choose
    entry.timers.now = lambda: now() + delay[0]


async def delay_answers(fleet):
    """Delay the answers to a placement until the run is placed elsewhere.

    Returns:
        The runs that overlap.
    """
    await out_of_contact(fleet)
    entry = fleet.entries["entry-1"]
    [other] = [link for link in entry.links.links.values() if link.name != "agent-1"]
    other.handshake_unanswered = True
    fleet.network.cut(AGENT, ENTRY)
    fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", tasks=1, work=2.0))
    await trio.sleep(0.9 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
    other.handshake_unanswered = False
    await trio.sleep(0.2 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
    fleet.network.heal(AGENT, ENTRY)
    await trio.sleep(2.0)
    return fleet.overlaps()


def lose_withdrawals(fleet):
    """Lose the first two copies of the withdrawal, but not the messages after them."""
    lost = []

    def tap(sender, receiver, payload):
        if sender == ENTRY and receiver == AGENT and b"WithdrawTask" in payload:
            lost.append(payload)
            return len(lost) > 2
        return True

    fleet.network.tap = tap


class TestDelayedAnswers:
    def test_withdrawn_run_does_not_start(self):
        async def main(fleet):
            assert await delay_answers(fleet) == []
            assert len(fleet.history) == 1

        run_fleet(main, agents=2)

    def test_withdrawn_run_does_not_start_while_withdrawal_is_lost(self):
        async def main(fleet):
            lose_withdrawals(fleet)
            assert await delay_answers(fleet) == []

        run_fleet(main, agents=2)

    def test_without_check_for_missing_items_runs_overlap(self, monkeypatch):
        def may_release(self, turn, lease_now):
            return self.has_lease(lease_now)

        monkeypatch.setattr(EntryContact, "may_release", may_release)

        async def main(fleet):
            lose_withdrawals(fleet)
            return await delay_answers(fleet)

        assert run_fleet(main, agents=2)


class TestRelease:
    """Conditions under which a message of the entry releases held runs."""

    def turn(self, last, echo_ms=1000):
        return EntryTurn("entry-1", 1, 1, 1, echo_ms, 0, 1, [], last, False)

    def contact(self, seen):
        contact = EntryContact(ENTRY, 0.0)
        contact.incoming.seen = seen
        return contact

    def test_missing_items_prevent_release(self):
        contact = self.contact(seen=2)
        assert contact.may_release(self.turn(last=2), 1.0)
        assert not contact.may_release(self.turn(last=3), 1.0)

    def test_message_that_renews_no_lease_does_not_release(self):
        contact = self.contact(seen=2)
        assert not contact.may_release(self.turn(last=2, echo_ms=100), 1.0)


class TestReorderedPlacement:
    """A placement arrives after the echo of a later message, which gave a lease."""

    async def deliver_placement_last(self, fleet):
        await out_of_contact(fleet)
        kept = []

        def tap(sender, receiver, payload):
            if (sender, receiver) != (ENTRY, AGENT):
                return True
            if b"PlaceTask" in payload:
                kept.append(payload)
            # Only echoes without items arrive, the withdrawal does not either.
            return b"PlaceTask" not in payload and b"WithdrawTask" not in payload

        fleet.network.tap = tap
        entry = fleet.entries["entry-1"]
        other = entry.links.links["tcp://agent-2"]
        other.handshake_unanswered = True
        spec = job("a", tasks=1, work=8.0)
        fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 20.0)
        await trio.sleep(0.9 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
        other.handshake_unanswered = False
        await trio.sleep(0.2 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
        agent = fleet.agents["agent-1"]
        agent.contacts.entries[ENTRY].active_until = trio.current_time() + 1.0
        while not agent.contacts.in_contact(ENTRY):
            await trio.sleep(0.001)
        fleet.network.tap = None
        fleet.network.carry(ENTRY, AGENT, kept[0])
        await trio.sleep(2.0)
        return fleet.overlaps()

    def test_earlier_lease_does_not_start_the_run(self):
        assert run_fleet(self.deliver_placement_last, agents=2) == []

    def test_without_check_for_own_echo_runs_overlap(self, monkeypatch):
        def may_release(self, turn, lease_now):
            return self.has_lease(lease_now) and self.incoming.seen >= turn.last

        monkeypatch.setattr(EntryContact, "may_release", may_release)
        assert run_fleet(self.deliver_placement_last, agents=2)


class TestSessions:
    def test_session_abandoned_by_the_entry_is_replaced(self):
        """The agent has no runs left when the lease ends, so it keeps the session."""

        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=4))
            link = fleet.entries["entry-1"].links.links[AGENT]
            link.session_abandoned = True
            await trio.sleep(CONTACT_LOSS_SECONDS)
            assert not link.session_abandoned
            assert fleet.logged("entry.session_ended")
            answer = await fleet.submit("entry-1", job("b"))
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=1)

    def test_idle_session_does_not_end(self):
        async def main(fleet):
            for number in range(3):
                answer = await fleet.submit("entry-1", job(f"j{number}"))
                assert answer.outcome is JobOutcome.SUCCEEDED
                await out_of_contact(fleet)
            assert not fleet.logged("entry.session_ended")

        run_fleet(main)


class TestRestart:
    """After a power failure entries and agents start again in any order."""

    def test_hello_of_a_restarted_entry_is_answered_at_once(self):
        """Messages that the agents sent before the entry could receive are lost."""

        async def main(fleet):
            fleet.entries["entry-1"].kill()
            await trio.sleep(3.0)
            entry = fleet.start_entry("entry-1")
            await trio.sleep(0.001)
            for agent in fleet.agents.values():
                greeting = Hello(False, [], [], 0, wants_reply=False)
                entry.mailer.post(agent.address, greeting)
            await trio.sleep(0.02)
            return len(entry.links.placement_candidates().preferred_in_contact)

        assert run_fleet(main, agents=4) == 4

    def test_agents_discovered_later_are_used_at_once(self):
        async def main(fleet):
            fleet.entries["entry-1"].kill()
            await trio.sleep(3.0)
            entry = fleet.start_entry("entry-1")
            for agent in fleet.agents.values():
                await trio.sleep(0.01)
                greeting = Hello(False, [], [], 0, wants_reply=False)
                entry.mailer.post(agent.address, greeting)
                await trio.sleep(0.01)
                entry.jobs.place_waiting_jobs()
                entry.links.placement_candidates()
            return len(entry.links.placement_candidates().preferred_in_contact)

        assert run_fleet(main, agents=4) == 4


class TestIdleMessages:
    @pytest.mark.parametrize("entries", [4, 12])
    def test_message_rate_of_idle_agent_is_independent_of_entry_count(
        self, entries, monkeypatch
    ):
        monkeypatch.setattr(entry_contact, "IDLE_MESSAGES_PER_SECOND", 16)

        async def main(fleet):
            await trio.sleep(2.0)
            before = self.count_sent(fleet, AGENT)
            await trio.sleep(10.0)
            return self.count_sent(fleet, AGENT) - before

        assert 120 <= run_fleet(main, entries=entries) <= 180

    def count_sent(self, fleet, address):
        pairs = fleet.network.sent.items()
        return sum(sent.payloads for (sender, _), sent in pairs if sender == address)


class TestChaos:
    @pytest.mark.parametrize("seed", range(100, 116))
    def test_no_runs_overlap_on_a_lossy_reordering_network(self, seed):
        async def main(fleet):
            fleet.network.loss = 0.03
            fleet.network.duplicate = 0.03
            fleet.network.reorder = 0.01 if seed % 2 else 0.2
            await Chaos(fleet, seed).run()
            assert fleet.overlaps() == []
            fleet.network.loss = fleet.network.reorder = 0.0
            await trio.sleep(8.0)
            answer = await fleet.submit("entry-1", job("last", tasks=8))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert fleet.overlaps() == []

        run_fleet(main, seed=seed, agents=6, entries=3)
