"""Tasks that were placed for an upstream before one of another kind took its place."""

import msgspec
import pytest
import trio

from bergamotcourse.coordination.jobs import entry_contact
from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.entry_contact import EntryContact
from bergamotcourse.coordination.jobs.job_run import JobOutcome
from bergamotcourse.ids import NO_LIFE, LifeChecksum, LinkAddress, ServiceName
from bergamotcourse.protocol.task_messages import PlaceTask
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.tests.jobs.fleets import run_fleet, runs_of
from bergamotcourse.virtual.job_fleet import NEEDS, SERVICE, job

LABEL, OTHER_LABEL = "a", "b"
OTHER_SERVICE = ServiceName("loans")

CONTACT_LOSS_SECONDS = 2.6
"""Idle time after which no entry is in contact with an agent."""

SLOW_LINK_SECONDS = 0.03
"""One way; a handshake still takes less than its timeout."""


def replace_upstream(fleet, agent, label=OTHER_LABEL, service=SERVICE):
    """Crash an upstream; another one answers at once, and its agent has its report."""
    fleet.upstreams[agent].crash()
    upstream = fleet.replace_at_address(agent)
    upstream.labels = (label, "rack-1")
    upstream.service = service
    fleet.agents[agent].receive_report()
    return upstream


class TestPlacement:
    @pytest.mark.parametrize(
        ("label", "service"), [(OTHER_LABEL, SERVICE), (LABEL, OTHER_SERVICE)]
    )
    def test_on_its_way_starts_nothing_on_another_kind(self, label, service):
        """Guards against tasks on a worker without the label that they require."""

        async def main(fleet):
            fleet.network.delay = SLOW_LINK_SECONDS
            await trio.sleep(0.5)
            spec = job("a", tasks=8, work=0.5, label=LABEL)
            answers = []

            async def submit():
                answers.append(await fleet.submit("entry-1", spec))

            fleet.nursery.start_soon(submit)
            await trio.sleep(SLOW_LINK_SECONDS / 2)
            upstream = replace_upstream(fleet, "agent-1", label, service)
            await trio.sleep(4.0)
            assert upstream.id in fleet.lives
            assert {run.upstream for run in runs_of(fleet, "a")} == {
                fleet.upstreams["agent-2"].id
            }
            assert [answer.outcome for answer in answers] == [JobOutcome.SUCCEEDED]

        run_fleet(main, agents=2)

    def test_held_until_an_echo_starts_nothing_on_another_kind(self, monkeypatch):
        """Guards against a check that is made only when a placement arrives."""
        # Each message of an idle agent renews the contact for a while.
        monkeypatch.setattr(entry_contact, "IDLE_MESSAGES_PER_SECOND", 1)

        async def main(fleet):
            await trio.sleep(CONTACT_LOSS_SECONDS)
            links = fleet.entries["entry-1"].links
            while not links.placement_candidates().preferred_without_contact:
                await trio.sleep(0.01)
            fleet.network.delay = SLOW_LINK_SECONDS
            spec = job("a", tasks=1, work=0.5, label=LABEL)
            fleet.nursery.start_soon(fleet.submit, "entry-1", spec)
            contact = fleet.agents["agent-1"].contacts.entries["tcp://entry-1"]
            with trio.fail_after(5.0):
                while not contact.held:
                    await trio.sleep(0.001)
            replace_upstream(fleet, "agent-1")
            await trio.sleep(1.0)
            assert not contact.held
            assert runs_of(fleet, "a") == []
            returned = fleet.logged("task.again")
            assert [one["detail"] for one in returned] == [
                "it was placed for a former upstream"
            ]

        run_fleet(main, agents=1)

    def test_is_returned_without_an_attempt_and_goes_elsewhere_at_once(self):
        """Guards against a job that waits or fails as its upstream was replaced."""

        async def main(fleet):
            fleet.network.delay = SLOW_LINK_SECONDS
            await trio.sleep(0.5)
            spec = job("a", tasks=2, work=0.5, label=LABEL)
            answers = []

            async def submit():
                answers.append(await fleet.submit("entry-1", spec))

            begun_at = trio.current_time()
            fleet.nursery.start_soon(submit)
            await trio.sleep(SLOW_LINK_SECONDS / 2)
            for agent in ("agent-1", "agent-2"):
                replace_upstream(fleet, agent)
            await trio.sleep(2.0)
            assert [answer.outcome for answer in answers] == [JobOutcome.SUCCEEDED]
            again = fleet.logged("task.again")
            assert {one["outcome"] for one in again} == {"returned"}
            assert len(again) == 2
            first = min(run.started_at for run in runs_of(fleet, "a"))
            assert first - begun_at < 4 * SLOW_LINK_SECONDS

        run_fleet(main, agents=3)


class TestStream:
    """Of consecutive placements for one life only the first names it."""

    def test_each_placement_is_read_with_the_life_that_it_was_made_for(self):
        lives = [LifeChecksum(number) for number in (7, 7, 9, 9, 7, NO_LIFE, 7)]
        link = AgentLink(LinkAddress("tcp://agent-1"), "agent-1", "north")
        contact = EntryContact(LinkAddress("tcp://entry-1"), 0.0)
        link.begin_session(1, 1)
        for number, life in enumerate(lives):
            key = RunKey(TaskName(f"a.0.0.{number}"), 1)
            link.enqueue_placement(
                PlaceTask(key, "a", "x", NEEDS, 100, 0.4, 15, life=life)
            )
        sent = list(link.outgoing.items)
        assert [order.life for order in sent] == [7, None, 9, None, 7, NO_LIFE, 7]
        for order in sent:
            contact.hold_run(order)
        assert [order.life for order in contact.held] == lives

    def test_new_session_names_the_life_again(self):
        link = AgentLink(LinkAddress("tcp://agent-1"), "agent-1", "north")
        order = PlaceTask(
            RunKey(TaskName("a"), 1), "a", "x", NEEDS, 100, 0.4, 15, LifeChecksum(7)
        )
        for session in (1, 2):
            link.begin_session(1, session)
            link.enqueue_placement(order)
            assert [one.life for one in link.outgoing.items] == [7]

    def test_placement_of_an_earlier_release_names_no_life(self):
        """Guards against placements that are not understood during a rollout."""
        order = PlaceTask(RunKey(TaskName("a"), 1), "a", "x", NEEDS, 100, 0.4, 15)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(order))
        earlier = msgspec.msgpack.encode(fields[:-1])
        assert msgspec.msgpack.decode(earlier, type=PlaceTask).life == NO_LIFE
