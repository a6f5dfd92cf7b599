import random

import pytest
import trio

from bergamotcourse.coordination.agent import Agent, AgentLimits
from bergamotcourse.coordination.agent_reports import AgentLocation
from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.permits import Permits
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.upstream_closer import UpstreamCloser
from bergamotcourse.coordination.upstreams import Upstream
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.messages import AgentLoad, AgentState, Attach
from bergamotcourse.state.manifest import (
    Drain,
    DrainKind,
    Manifest,
    Policy,
    UpstreamRule,
)
from bergamotcourse.tests.configs import run

ENTRY = LinkAddress("entry")
AGENT = LinkAddress("agent")
ALL_SERVICES_RULE = UpstreamRule(name="all", services=["voting", "tally"])


def manifest(*drains, rules=(ALL_SERVICES_RULE,)):
    policy = Policy(drains=[Drain(kind=kind, name=name) for kind, name in drains])
    return Manifest(release="r", upstreams=list(rules), policy=policy)


class Wire:
    """A double of both mailers: delivers each posted message to its handler at once."""

    def __init__(self):
        self.sent = []
        self.handlers = {}
        self.lost = False

    def post(self, peer, message):
        self.sent.append(message)
        if not self.lost:
            self.handlers[peer](message)
        return True


class Pair:
    """An agent with two upstreams, and the directory and closer of an entry."""

    def __init__(self):
        self.wire = Wire()
        self.directory = AgentDirectory(3.0)
        self.closer = UpstreamCloser(self.directory, self.wire)
        timers = Timers(random.Random(1))
        place = AgentLocation("agent-1", "zone-a", "rack-1", "worker-1")
        self.agent = Agent(place, AgentLimits(), self.wire, timers, random.Random(1))
        self.wire.handlers = {ENTRY: self.handle_at_entry, AGENT: self.handle_at_agent}
        for name in ("voting-1", "voting-2"):
            self.agent.announce(
                Upstream(name, "voting", "zone-a", "r1", 8, 64, None, 0.0)
            )
        self.handle_at_agent(Attach("entry", "zone-a"))

    def handle_at_agent(self, message):
        self.agent.handle(ENTRY, message)

    def handle_at_entry(self, message):
        match message:
            case AgentState():
                self.closer.sync_agent(self.directory.record_state(AGENT, message, 0.0))
            case AgentLoad():
                assert self.directory.record_load(AGENT, message, 0.0)

    def apply(self, version, content):
        self.closer.take_manifest(version, content)

    @property
    def slots(self):
        return self.directory.views["agent-1"].slots("voting")

    @property
    def open(self):
        return [one.id for one in self.agent.upstreams.serving("voting")]


def run_pair(check):
    async def main():
        check(Pair())

    run(main)


class TestPermits:
    @pytest.mark.parametrize(
        "rule",
        [
            UpstreamRule(name="a", services=["voting"], upstreams=["voting-*"]),
            UpstreamRule(name="a", services=["voting"], zones=["zone-b", "zone-a"]),
        ],
    )
    def test_matching_rule_permits_upstreams(self, rule):
        def check(pair):
            pair.apply(1, manifest(rules=[rule]))
            assert pair.slots == 16

        run_pair(check)

    @pytest.mark.parametrize(
        "rules",
        [
            [],
            [UpstreamRule(name="a", services=["tally"])],
            [UpstreamRule(name="a", services=["voting"], upstreams=["other-*"])],
            [UpstreamRule(name="a", services=["voting"], zones=["zone-b"])],
        ],
    )
    def test_upstreams_without_matching_rule_get_no_tasks(self, rules):
        def check(pair):
            pair.apply(1, manifest(rules=rules))
            assert pair.slots == 0
            assert pair.open == []

        run_pair(check)

    def test_rules_apply_to_single_upstreams(self):
        rule = UpstreamRule(name="a", services=["voting"], upstreams=["*-2"])
        permits = Permits(1, manifest(rules=[rule]))

        def check(pair):
            state = pair.agent.reports.state(ENTRY)
            assert permits.closed(state, state.upstreams) == ["voting-1"]
            assert permits.offers(state)["voting"].slots == 8

        run_pair(check)


class TestUpstreamCloser:
    @pytest.mark.parametrize(
        ("kind", "name", "left"),
        [
            (DrainKind.UPSTREAM, "voting-1", ["voting-2"]),
            (DrainKind.WORKER, "worker-1", []),
            (DrainKind.RACK, "rack-1", []),
            (DrainKind.ZONE, "zone-a", []),
            (DrainKind.RELEASE, "r1", []),
            (DrainKind.RELEASE, "r2", ["voting-1", "voting-2"]),
        ],
    )
    def test_drain_and_its_removal_take_effect_at_once(self, kind, name, left):
        def check(pair):
            pair.apply(1, manifest())
            pair.apply(2, manifest((kind, name)))
            assert (pair.open, pair.slots) == (left, 8 * len(left))
            pair.apply(3, manifest())
            assert (pair.open, pair.slots) == (["voting-1", "voting-2"], 16)

        run_pair(check)

    def test_unaffected_agent_gets_no_message(self):
        def check(pair):
            pair.wire.sent.clear()
            for version in range(1, 9):
                pair.apply(version, manifest((DrainKind.WORKER, f"other-{version}")))
            assert pair.wire.sent == []

        run_pair(check)

    def test_lost_close_message_is_retransmitted(self):
        def check(pair):
            pair.wire.lost = True
            pair.apply(2, manifest((DrainKind.WORKER, "worker-1")))
            assert pair.open
            pair.wire.lost = False
            pair.closer.sync_all()
            assert pair.open == []

        run_pair(check)

    def test_entry_with_older_configuration_does_not_reopen_upstreams(self):
        def check(pair):
            pair.apply(2, manifest((DrainKind.UPSTREAM, "voting-1")))
            behind = UpstreamCloser(AgentDirectory(3.0), pair.wire)
            behind.take_manifest(1, manifest())
            behind.sync_agent(
                behind.directory.record_state(
                    AGENT, pair.agent.reports.state(ENTRY), 0.0
                )
            )
            assert pair.open == ["voting-2"]

        run_pair(check)

    def test_closed_upstream_stays_closed_after_it_is_announced_again(self):
        def check(pair):
            pair.apply(2, manifest((DrainKind.UPSTREAM, "voting-1")))
            upstreams = pair.agent.upstreams
            upstreams.mark_leaving("voting-1")
            upstreams.expire()
            again = Upstream("voting-1", "voting", "zone-a", "r1", 8, 64, None, 0.0)
            pair.agent.announce(again)
            assert pair.open == ["voting-2"]

        run_pair(check)


class TestAgentReports:
    def test_unchanged_state_is_followed_by_load_only(self):
        def check(pair):
            pair.wire.sent.clear()
            pair.agent.reports.report_to(ENTRY)
            assert [type(one) for one in pair.wire.sent] == [AgentLoad]

        run_pair(check)

    def test_changed_upstreams_are_reported_as_full_state(self):
        def check(pair):
            pair.wire.sent.clear()
            more = Upstream("voting-2", "voting", "zone-a", "r1", 3, 64, None, 0.0)
            pair.agent.announce(more)
            assert [type(one) for one in pair.wire.sent] == [AgentState]
            assert pair.slots == 11

        run_pair(check)

    def test_load_for_unknown_state_is_rejected(self):
        def check(pair):
            token = pair.agent.reports.state(ENTRY).token
            load = AgentLoad(9, token, [(0, 0, 0, 0)], [])
            assert not pair.directory.record_load(AGENT, load, 0.0)
            number = pair.agent.reports.number
            other_boot = AgentLoad(number, 7 << 40, [(0, 0, 0, 0)], [])
            assert not pair.directory.record_load(AGENT, other_boot, 0.0)

        run_pair(check)

    def test_reattached_entry_gets_state_only_if_outdated(self):
        def check(pair):
            number = pair.agent.reports.number
            pair.wire.sent.clear()
            pair.handle_at_agent(Attach("entry", "zone-a", number))
            assert pair.wire.sent == []
            pair.handle_at_agent(Attach("entry", "zone-a", number - 1))
            assert [type(one) for one in pair.wire.sent] == [AgentState]

        run_pair(check)


class TestUpstreamExpiry:
    def test_expiry_of_busy_upstream_is_reported_at_once(self):
        async def main():
            pair = Pair()
            busy = pair.agent.upstreams.acquire_slot("voting")
            await trio.sleep(6)
            await pair.agent._send_heartbeats()
            assert busy.running == 1
            assert pair.slots == 0

        run(main)
