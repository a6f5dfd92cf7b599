from contextlib import asynccontextmanager

import pytest
import trio
from expression import Error, Ok

from bergamotcourse.commands import drain as drain_command
from bergamotcourse.commands.admin_client import StatusReply
from bergamotcourse.commands.drain import DrainOptions, drain
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.errors import Step, StepError
from bergamotcourse.protocol.status import (
    AgentStatus,
    ConfigStatus,
    EntryStatus,
    LeaseStatus,
    QueueStatus,
    RangeStatus,
    ServiceLoad,
    UpstreamStatus,
)
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state.manifest import Drain, DrainKind
from bergamotcourse.tests.configs import accept, make_manifest, run

ENTRIES = ["10.0.0.1:9", "10.0.0.2:9"]


def agent(name, load, health="usable", heard=0.1):
    return AgentStatus(
        id=name,
        zone=f"zone-{name}",
        rack="",
        worker=f"worker-{name}",
        health=health,
        drained=False,
        heard_seconds=heard,
        services=[ServiceLoad("voting", 8, load, 0)],
        upstreams=[UpstreamStatus(f"up-{name}", "voting", "r1", 8, False)],
    )


def entry(agents, queued=0, version=1):
    return EntryStatus(
        id="entry",
        zone="a",
        ready=True,
        stopping=False,
        config=ConfigStatus(version, "r1", True, ""),
        lease=LeaseStatus("held", 1.0, ""),
        ranges=RangeStatus([], [], True),
        agents=agents,
        queues=[QueueStatus("voting", queued, 0)],
    )


class DrainCommandHarness:
    """Runs the command against an in-memory platform and scripted status replies."""

    def __init__(self, monkeypatch, capsys):
        self.platform = MemoryPlatform()
        self.capsys = capsys
        self.statuses = []
        run(lambda: accept(self.platform, make_manifest()))
        monkeypatch.setenv("BERGAMOTCOURSE_TOKEN", "t")
        monkeypatch.setattr(drain_command, "read_statuses", self.read_statuses)
        monkeypatch.setattr(drain_command, "PROGRESS_POLL_SECONDS", 0.001)

    @asynccontextmanager
    async def open(self, _address):
        yield self.platform

    async def read_statuses(self, addresses, _token):
        await trio.lowlevel.checkpoint()
        statuses = self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]
        return [
            StatusReply(address, Error(one) if isinstance(one, StepError) else Ok(one))
            for address, one in zip(addresses, statuses, strict=True)
        ]

    def drain(self, statuses, kind=DrainKind.WORKER, name="worker-a", **more):
        self.statuses = statuses
        target = Drain(kind=kind, name=name)
        options = DrainOptions(target, "", "ane", "why", entries=ENTRIES, **more)
        code = drain(options, self.open)
        return code, self.capsys.readouterr().err


@pytest.fixture
def harness(monkeypatch, capsys):
    return DrainCommandHarness(monkeypatch, capsys)


class TestDrain:
    @pytest.mark.parametrize(
        ("kind", "name"),
        [
            (DrainKind.WORKER, "worker-a"),
            (DrainKind.ZONE, "zone-a"),
            (DrainKind.UPSTREAM, "up-a"),
        ],
    )
    def test_drain_that_overloads_remaining_slots_is_refused(self, harness, kind, name):
        full = [entry([agent("a", 5), agent("b", 3)], queued=1)] * 2
        code, err = harness.drain([full], kind, name)
        assert code == ExitCode.OVERLOAD
        assert "voting has 10 tasks now, and 8 slots would remain" in err
        assert harness.drain([full], kind, name, force=True)[0] == ExitCode.OK

    def test_drain_of_all_upstreams_is_refused(self, harness):
        statuses = [entry([agent("a", 0), agent("b", 1)])] * 2
        code, err = harness.drain([statuses], DrainKind.RELEASE, "r1")
        assert code == ExitCode.OVERLOAD
        assert "0 slots would remain" in err

    def test_unusable_agents_add_no_remaining_capacity(self, harness):
        agents = [agent("a", 4), agent("b", 0, "silent")]
        assert harness.drain([[entry(agents)] * 2])[0] == ExitCode.OVERLOAD

    def test_most_recent_report_of_an_agent_counts(self, harness):
        statuses = [entry([agent("a", 9, heard=2.0), agent("b", 0)])]
        statuses.append(entry([agent("a", 1), agent("b", 0)]))
        assert harness.drain([statuses])[0] == ExitCode.OK

    def test_unreachable_entry_stops_the_drain(self, harness):
        gone = StepError(Step.CONNECT, ENTRIES[1], "gone")
        statuses = [entry([agent("a", 1), agent("b", 0)]), gone]
        code, err = harness.drain([statuses])
        assert code == ExitCode.UNREACHABLE
        assert "nothing was drained" in err

    def test_waits_until_in_force_everywhere_and_no_task_runs(self, harness):
        rest = agent("b", 0)
        before = [entry([agent("a", 2), rest])] * 2
        half = [entry([agent("a", 2), rest], version=2), before[0]]
        runs = [entry([agent("a", 1, "leaving"), rest], version=2)] * 2
        done = [entry([agent("a", 0, "leaving"), rest], version=2)] * 2
        code, err = harness.drain([before, half, runs, done], wait_seconds=60.0)
        assert code == ExitCode.OK
        assert "in force at 1 of 2 entries; 2 tasks run" in err
        assert err.splitlines()[-1].endswith(
            "2 of 2 entries; 0 tasks run at 1 upstreams"
        )

    def test_wait_times_out_while_tasks_run(self, harness):
        statuses = [entry([agent("a", 1), agent("b", 0)])] * 2
        code, err = harness.drain([statuses], wait_seconds=0.05)
        assert code == ExitCode.TIMED_OUT
        assert "the change stays in force" in err
