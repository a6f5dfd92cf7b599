"""Background tasks that go on after an exception."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest
import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.membership import AgentDiscovery, AgentRegistration
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons import agent as agent_daemon
from bergamotcourse.daemons.agent import run_agent
from bergamotcourse.daemons.entry import run_entry
from bergamotcourse.daemons.supervision import (
    RESTART_PAUSE_SECONDS,
    log_failures,
    run_supervised,
)
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Detach
from bergamotcourse.state.settings import AgentSettings, EntrySettings, SocketAddress
from bergamotcourse.transport.memory_link import MemoryNetwork
from bergamotcourse.virtual.clock import run_virtual


class TestSupervisedTask:
    def test_is_started_again_after_an_exception(self):
        """Guards against a reader of a list whose failure ends the process."""
        lines = []
        starts = []

        async def read_list(seconds):
            starts.append(trio.current_time())
            await trio.sleep(seconds)
            if len(starts) < 3:
                raise RecursionError("nested too deep" * 100)

        async def main():
            log = EventLog(lambda kind, fields: lines.append((kind, fields)))
            await run_supervised("entries", log, read_list, 0.5)

        run_virtual(main, 1)
        assert [round(b - a, 6) for a, b in zip(starts, starts[1:], strict=False)] == [
            0.5 + RESTART_PAUSE_SECONDS
        ] * 2
        assert [kind for kind, _ in lines] == ["task.failed"] * 2
        assert lines[0][1]["name"] == "entries"
        assert len(lines[0][1]["error"]) == 200

    def test_ends_when_it_is_cancelled(self):
        async def main():
            with trio.move_on_after(1.0) as scope:
                await run_supervised("entries", EventLog(), trio.sleep_forever)
            assert scope.cancelled_caught

        run_virtual(main, 1)


class TestTimers:
    def test_subscription_goes_on_after_an_exception(self):
        failed = []
        calls = []

        async def call():
            calls.append(trio.current_time())
            raise ValueError("odd")

        async def main():
            timers = Timers(random.Random(1))
            timers.on_failed = lambda *fields: failed.append(fields)
            timers.every(1.0, "status", call)
            with trio.move_on_after(3.5):
                await timers.run()

        run_virtual(main, 1)
        assert len(calls) == len(failed) == 3
        assert failed[0][0].name == "status"

    def test_exception_ends_the_service_if_nobody_handles_it(self):
        async def call():
            raise ValueError("odd")

        async def main():
            timers = Timers(random.Random(1))
            timers.every(1.0, "status", call)
            await timers.run()

        with pytest.raises(ExceptionGroup):
            run_virtual(main, 1)


class TestLogFailures:
    def test_exception_of_a_message_is_logged(self):
        """Guards against a log of a failed message that ends the process."""
        lines = []
        mailer, timers = SimpleNamespace(), SimpleNamespace()
        log = EventLog(lambda kind, fields: lines.append((kind, fields)))
        log_failures(log, mailer, timers)
        sender = LinkAddress("udp://10.0.0.1:7000")
        mailer.on_failed(sender, Detach("entry-1"), ValueError("odd"))
        [(kind, fields)] = lines
        assert kind == "message.failed"
        assert (fields["kind"], fields["peer"]) == ("Detach", sender)

    def test_message_and_subscriber_are_logged(self):
        lines = []

        def handle(sender, message):
            raise RecursionError("nested too deep" * 100)

        async def call():
            raise ValueError("odd")

        async def main():
            timers = Timers(random.Random(1))
            network = MemoryNetwork(random.Random(1))
            mailer = Mailer(network.link(LinkAddress("tcp://a")))
            mailer.handler = handle
            log = EventLog(lambda kind, fields: lines.append((kind, fields)))
            log_failures(log, mailer, timers)
            mailer._handle_message(LinkAddress("tcp://b"), Detach("entry-1"))
            await timers.call_once("status", call)

        run_virtual(main, 1)
        assert [kind for kind, _ in lines] == ["message.failed", "task.failed"]
        assert lines[0][1]["kind"] == "Detach"
        assert len(lines[0][1]["error"]) == 200
        assert lines[1][1]["name"] == "status"


def socket(port=0):
    return SocketAddress(host="127.0.0.1", port=port)


class TestSessionProcesses:
    """The entries and agents of the session path, run in this process."""

    COMMON = {"zone": "a", "region": "r", "platform": socket(1), "log": "/dev/null"}

    def run_until_called_twice(self, monkeypatch, owner, name, process):
        calls = Counter()

        async def main():
            called_twice = trio.Event()

            async def fail(_self):
                calls[name] += 1
                if calls[name] == 2:
                    called_twice.set()
                raise ValueError("odd")

            monkeypatch.setattr(owner, name, fail)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process)
                await called_twice.wait()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_entry_goes_on_after_an_exception(self, monkeypatch):
        """Guards against an entry that ends as it reads a list at its start."""
        settings = EntrySettings(
            name="entry-1", http=socket(), link=socket(), heartbeat_seconds=0.05,
            **self.COMMON,
        )  # fmt: skip
        self.run_until_called_twice(
            monkeypatch, AgentDiscovery, "watch", lambda: run_entry(settings)
        )

    def test_agent_goes_on_after_an_exception(self, monkeypatch):
        """Guards against an agent that ends as it registers."""
        settings = AgentSettings(
            name="agent-1", worker="w", http=socket(), link=socket(), **self.COMMON
        )
        monkeypatch.setattr(agent_daemon, "REGISTRATION_SECONDS", 0.05)
        self.run_until_called_twice(
            monkeypatch, AgentRegistration, "watch", lambda: run_agent(settings)
        )
