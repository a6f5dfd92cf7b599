import random
import re
import socket
from pathlib import Path

import pytest
import trio

import bergamotcourse
from bergamotcourse.daemons.metric_names import (
    AGENT_METRICS,
    ENTRY_METRICS,
    MetricKind,
    metrics_page,
)
from bergamotcourse.daemons.metric_samples import (
    agent_sample,
    entry_sample,
    record_agent_task_times,
    record_entry_task_times,
    with_response_times,
)
from bergamotcourse.daemons.metrics import (
    MAX_TIMER_VALUES,
    MetricsReporter,
    Sample,
    Timings,
)
from bergamotcourse.state.settings import SocketAddress
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

PAGE = Path(bergamotcourse.__file__).parents[1] / "docs" / "reference" / "metrics.md"


@pytest.fixture
def statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        yield receiver


def report(receiver, samples, timings=None):
    """Report samples in order and return the lines received."""
    listen = SocketAddress(host="127.0.0.1", port=receiver.getsockname()[1])
    timings = timings or Timings(random.Random(1))
    left = list(samples)
    reporter = MetricsReporter(listen, "entry", "a.b", lambda: left.pop(0), timings)

    async def main():
        for _ in samples:
            await reporter.report()

    trio.run(main)
    reporter.client.incr("end")
    lines = []
    while not lines or ".end:" not in lines[-1]:
        lines += receiver.recv(65536).decode().splitlines()
    reporter.client.close()
    return [line.removeprefix("bergamotcourse.entry.a_b.") for line in lines[:-1]]


def reported_metrics(role):
    """Return the metrics that a process under load reports, by name, with kinds."""
    names = {}

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, 1, FleetShape(entries=2, agents=2))
            await fleet.start()
            virtual = fleet.entries["entry-1"]
            entry, agent = virtual.entry, fleet.agents["agent-1"].agent
            timings = Timings(random.Random(1))
            if role == "entry":
                record_entry_task_times(entry, timings)
                virtual.api.handle = with_response_times(
                    virtual.api.handle, entry.timers, timings
                )
            else:
                record_agent_task_times(agent, timings)
            for number in range(20):
                target = f"/s/voting/x?run_ms=20&status={[200, 500][number == 3]}"
                await fleet.call("entry-1", HttpRequest("GET", target))
            sample = entry_sample(entry) if role == "entry" else agent_sample(agent)
            names.update(sample.names())
            names.update(dict.fromkeys(timings.take_all(), MetricKind.TIMER))
            nursery.cancel_scope.cancel()

    run_virtual(main, 1)
    return names


class TestMetricNames:
    def test_metrics_page_is_up_to_date(self):
        assert PAGE.read_text() == metrics_page()

    @pytest.mark.parametrize(
        ("role", "metrics"), [("entry", ENTRY_METRICS), ("agent", AGENT_METRICS)]
    )
    def test_reported_and_documented_metrics_match(self, role, metrics):
        patterns = {
            re.compile(re.sub(r"\\{\w+\\}", r"\\w+", re.escape(one.name))): one
            for one in metrics
        }
        used = set()
        for name, kind in reported_metrics(role).items():
            found = [one for at, one in patterns.items() if at.fullmatch(name)]
            assert [one.kind for one in found] == [kind], name
            used.update(found)
        assert used == set(metrics)


class TestMetricsReporter:
    def test_sends_counter_increases(self, statsd):
        totals = [{"a": 5, "b": 0}, {"a": 7}, {"a": 1}]
        lines = report(statsd, [Sample(counters=one) for one in totals])
        assert lines == ["a:5|c", "a:2|c", "a:1|c"]

    def test_sends_gauges(self, statsd):
        assert report(statsd, [Sample(gauges={"x": 0.5})]) == ["x:0.5|g"]

    def test_timer_values_are_sampled_with_rate(self, statsd):
        timings = Timings(random.Random(1))
        for value in range(10 * MAX_TIMER_VALUES):
            timings.add("run", value)
        lines = report(statsd, [Sample()], timings)
        assert len(lines) == MAX_TIMER_VALUES
        assert all(line.endswith("|ms|@0.100000") for line in lines)
        assert not timings.timings

    def test_closed_receiver_raises_no_error(self, statsd):
        port = statsd.getsockname()[1]
        statsd.close()
        listen = SocketAddress(host="127.0.0.1", port=port)
        sample = Sample(gauges={f"name-{n}": n for n in range(2000)})
        timings = Timings(random.Random(1))
        reporter = MetricsReporter(listen, "entry", "a", lambda: sample, timings)
        assert reporter.client._sock.getblocking() is False

        async def main():
            for _ in range(5):
                await reporter.report()

        trio.run(main)
        reporter.client.close()
