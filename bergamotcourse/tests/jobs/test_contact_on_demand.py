"""Agents that an entry has no contact with: what they cost, and what runs there."""

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
QUIET_SECONDS = 2.6
"""After which no entry is in contact, and each has heard all agents of late."""


@pytest.fixture(autouse=True)
def rare_messages(monkeypatch):
    """Let two entries hear an idle agent as rarely as sixteen do."""
    monkeypatch.setattr(entry_contact, "IDLE_MESSAGES_PER_SECOND", 1)


async def out_of_contact(fleet, entry="entry-1"):
    """Return once an entry may open each of its agents, and is in contact with none."""
    await trio.sleep(QUIET_SECONDS)
    links = fleet.entries[entry].links
    while len(links.choices().near_quiet) < len(fleet.agents):
        await trio.sleep(0.01)


class TestPlacing:
    def test_a_task_starts_after_one_exchange(self):
        async def main(fleet):
            await out_of_contact(fleet)
            begun = trio.current_time()
            answer = await fleet.submit("entry-1", job("a", tasks=8))
            assert answer.outcome is JobOutcome.SUCCEEDED
            first = min(run.started_at for run in fleet.history)
            assert first - begun < 0.02

        run_fleet(main)

    def test_the_tasks_of_a_job_share_the_agents_that_have_room(self):
        async def main(fleet):
            await out_of_contact(fleet)
            await fleet.submit("entry-1", job("a", tasks=8))
            assert len({run.upstream for run in fleet.history}) <= 2

        run_fleet(main, agents=8)

    def test_an_entry_that_waits_asks_agents_that_it_does_not_hear(self):
        """All were full when they were last heard, and have room since."""

        async def main(fleet):
            await trio.sleep(1.0)
            full = job("full", tasks=40, work=2.2)
            fleet.nursery.start_soon(fleet.submit, "entry-1", full)
            await trio.sleep(2.4)
            links = fleet.entries["entry-2"].links
            assert not any(link.free().cpu > 3100 for link in links.known())
            begun = trio.current_time()
            answer = await fleet.submit("entry-2", job("a", tasks=8))
            assert answer.outcome is JobOutcome.SUCCEEDED
            assert answer.at - begun < 0.3

        run_fleet(main)


class TestDeadAgents:
    def test_a_task_is_placed_elsewhere_once_its_agent_did_not_answer(self):
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

    def test_a_job_that_found_only_such_agents_has_not_run(self):
        async def main(fleet):
            await out_of_contact(fleet)
            fleet.agents["agent-1"].kill()
            answer = await fleet.submit("entry-1", job("a"))
            assert answer.outcome is JobOutcome.REFUSED
            assert fleet.history == []

        run_fleet(main, agents=1)


class TestSlowEntry:
    @pytest.mark.parametrize("seconds, earlier", [(0.02, 0), (0.15, 2)])
    def test_a_run_that_starts_at_once_is_not_taken_back(self, seconds, earlier):
        """Two runs of a task overlapped on a calm day, for 46 ms.

        The first was stopped 99 ms after its start, the second started 53 ms after it.
        Its entry had heard the agent 0.40 s before it placed the first: in contact when
        the agent was chosen, out of it when the run was placed. So it took the run for
        one that waits for an answer, and back as soon as the agent began a new session.
        The agent had started it by an echo that was valid for 50 ms more.
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
            await trio.sleep(links["agent-1"].heard_at + 0.39 - trio.current_time())
            links["agent-2"].unanswered = True
            take_a_while_to_place(entry, seconds)
            spec = job("a", tasks=1, work=2.0)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            await trio.sleep(0.01)
            links["agent-2"].unanswered = False
            fleet.network.heal(AGENT, ENTRY)
            await trio.sleep(2.0)
            assert any(run.kind is EndKind.STOPPED for run in fleet.history)
            assert fleet.overlaps() == []

        run_fleet(main, agents=2)


def take_a_while_to_place(entry, seconds):
    """Let time pass between the choice of an agent and the placement there."""
    choices, now = entry.links.choices, entry.timers.now
    late = [0.0]

    def choose():
        chosen = choices()
        late[0] = seconds
        return chosen

    entry.links.choices = choose
    entry.timers.now = lambda: now() + late[0]


async def answers_come_late(fleet):
    """An agent takes a placement; its answers come once the run is placed elsewhere."""
    await out_of_contact(fleet)
    entry = fleet.entries["entry-1"]
    [other] = [link for link in entry.links.links.values() if link.name != "agent-1"]
    other.unanswered = True
    fleet.network.cut(AGENT, ENTRY)
    fleet.nursery.start_soon(fleet.submit, "entry-1", job("a", tasks=1, work=2.0))
    await trio.sleep(0.9 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
    other.unanswered = False
    await trio.sleep(0.2 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
    fleet.network.heal(AGENT, ENTRY)
    await trio.sleep(2.0)
    return fleet.overlaps()


def lose_withdrawals(fleet):
    """Lose the first copies of what takes the run back, but not what follows."""
    lost = []

    def tap(sender, receiver, payload):
        if sender == ENTRY and receiver == AGENT and b"WithdrawTask" in payload:
            lost.append(payload)
            return len(lost) > 2
        return True

    fleet.network.tap = tap


class TestLateAnswers:
    def test_a_run_that_was_placed_elsewhere_does_not_start(self):
        async def main(fleet):
            assert await answers_come_late(fleet) == []
            assert len(fleet.history) == 1

        run_fleet(main, agents=2)

    def test_nor_while_the_withdrawal_is_lost(self):
        async def main(fleet):
            lose_withdrawals(fleet)
            assert await answers_come_late(fleet) == []

        run_fleet(main, agents=2)

    def test_without_a_look_at_what_is_lacking_it_would(self, monkeypatch):
        def may_release(self, turn, lease_now):
            return self.has_lease(lease_now)

        monkeypatch.setattr(EntryContact, "may_release", may_release)

        async def main(fleet):
            lose_withdrawals(fleet)
            return await answers_come_late(fleet)

        assert run_fleet(main, agents=2)


class TestRelease:
    """What was placed without contact is released by a message of its entry."""

    def turn(self, last, echo_ms=1000):
        return EntryTurn("entry-1", 1, 1, 1, echo_ms, 0, 1, [], last, False)

    def contact(self, seen):
        contact = EntryContact(ENTRY, 0.0)
        contact.incoming.seen = seen
        return contact

    def test_needs_all_items_that_the_entry_had(self):
        contact = self.contact(seen=2)
        assert contact.may_release(self.turn(last=2), 1.0)
        assert not contact.may_release(self.turn(last=3), 1.0)

    def test_needs_a_message_that_renews_the_lease(self):
        contact = self.contact(seen=2)
        assert not contact.may_release(self.turn(last=2, echo_ms=100), 1.0)


class TestOvertaking:
    """A placement arrives after the echo of a later message, which gave contact."""

    async def placement_comes_last(self, fleet):
        await out_of_contact(fleet)
        kept = []

        def tap(sender, receiver, payload):
            if (sender, receiver) != (ENTRY, AGENT):
                return True
            if b"PlaceTask" in payload:
                kept.append(payload)
            # The withdrawal does not arrive either, only echoes without items.
            return b"PlaceTask" not in payload and b"WithdrawTask" not in payload

        fleet.network.tap = tap
        entry = fleet.entries["entry-1"]
        other = entry.links.links["tcp://agent-2"]
        other.unanswered = True
        spec = job("a", tasks=1, work=8.0)
        fleet.nursery.start_soon(fleet.submit, "entry-1", spec, QUEUE, 20.0)
        await trio.sleep(0.9 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
        other.unanswered = False
        await trio.sleep(0.2 * FIRST_PLACEMENT_TIMEOUT_SECONDS)
        agent = fleet.agents["agent-1"]
        agent.contacts.entries[ENTRY].warm_until = trio.current_time() + 1.0
        while not agent.contacts.in_contact(ENTRY):
            await trio.sleep(0.001)
        fleet.network.tap = None
        fleet.network.carry(ENTRY, AGENT, kept[0])
        await trio.sleep(2.0)
        return fleet.overlaps()

    def test_it_does_not_start_by_that_contact(self):
        assert run_fleet(self.placement_comes_last, agents=2) == []

    def test_by_any_contact_it_would(self, monkeypatch):
        def may_release(self, turn, lease_now):
            return self.has_lease(lease_now) and self.incoming.seen >= turn.last

        monkeypatch.setattr(EntryContact, "may_release", may_release)
        assert run_fleet(self.placement_comes_last, agents=2)


class TestSessions:
    def test_one_that_the_entry_has_given_up_is_followed_by_another(self):
        """The agent had no runs left when it lost the entry, so it kept the session."""

        async def main(fleet):
            await fleet.submit("entry-1", job("a", tasks=4))
            link = fleet.entries["entry-1"].links.links[AGENT]
            link.over = True
            await trio.sleep(QUIET_SECONDS)
            assert not link.over
            assert fleet.logged("entry.session_ended")
            answer = await fleet.submit("entry-1", job("b"))
            assert answer.outcome is JobOutcome.SUCCEEDED

        run_fleet(main, agents=1)

    def test_a_quiet_one_goes_on(self):
        async def main(fleet):
            for number in range(3):
                answer = await fleet.submit("entry-1", job(f"j{number}"))
                assert answer.outcome is JobOutcome.SUCCEEDED
                await out_of_contact(fleet)
            assert not fleet.logged("entry.session_ended")

        run_fleet(main)


class TestComingBack:
    """After a loss of power entries and agents come back in any order."""

    def test_an_entry_that_greets_is_answered_at_once(self):
        """What the agents sent before it could receive is lost."""

        async def main(fleet):
            fleet.entries["entry-1"].kill()
            await trio.sleep(3.0)
            entry = fleet.start_entry("entry-1")
            await trio.sleep(0.001)
            for agent in fleet.agents.values():
                greeting = Hello(False, [], [], 0, asks=False)
                entry.mailer.post(agent.address, greeting)
            await trio.sleep(0.02)
            return len(entry.links.choices().near)

        assert run_fleet(main, agents=4) == 4

    def test_agents_that_are_found_after_the_first_are_used_at_once(self):
        async def main(fleet):
            fleet.entries["entry-1"].kill()
            await trio.sleep(3.0)
            entry = fleet.start_entry("entry-1")
            for agent in fleet.agents.values():
                await trio.sleep(0.01)
                greeting = Hello(False, [], [], 0, asks=False)
                entry.mailer.post(agent.address, greeting)
                await trio.sleep(0.01)
                entry.jobs.place_waiting_jobs()
                entry.links.choices()
            return len(entry.links.choices().near)

        assert run_fleet(main, agents=4) == 4


class TestMessages:
    @pytest.mark.parametrize("entries", [4, 12])
    def test_an_idle_agent_sends_the_same_to_many_entries(self, entries, monkeypatch):
        monkeypatch.setattr(entry_contact, "IDLE_MESSAGES_PER_SECOND", 16)

        async def main(fleet):
            await trio.sleep(2.0)
            before = self.sent_by(fleet, AGENT)
            await trio.sleep(10.0)
            return self.sent_by(fleet, AGENT) - before

        assert 120 <= run_fleet(main, entries=entries) <= 180

    def sent_by(self, fleet, address):
        pairs = fleet.network.sent.items()
        return sum(sent.payloads for (sender, _), sent in pairs if sender == address)


class TestChaos:
    @pytest.mark.parametrize("seed", range(100, 116))
    def test_no_run_overlaps_over_a_network_that_loses_and_reorders(self, seed):
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
