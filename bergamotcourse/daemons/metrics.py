"""Reports counters, gauges and timers of a process to statsd periodically.

A report never blocks and never fails: a datagram that the kernel does not accept
immediately is dropped.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from statsd import StatsClient

from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.metric_names import MetricKind
from bergamotcourse.state.settings import SocketAddress

REPORT_SECONDS = 5.0
MAX_TIMER_VALUES = 32
"""Limit of values of one timer in one report."""

PREFIX = "bergamotcourse"


@dataclass(frozen=True)
class Sample:
    """The counters and gauges of a process at one time.

    Attributes:
        counters: Totals since the process started.
    """

    counters: dict[str, int] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)

    def names(self) -> dict[str, MetricKind]:
        """Return the kind of each metric in the sample, by name."""
        counters = dict.fromkeys(self.counters, MetricKind.COUNTER)
        return counters | dict.fromkeys(self.gauges, MetricKind.GAUGE)


@dataclass
class Timing:
    """The values of one timer since the last report, sampled by reservoir sampling.

    Attributes:
        count: Number of values recorded.
        reservoir: Uniform random sample of the values, in milliseconds.
    """

    count: int = 0
    reservoir: list[float] = field(default_factory=list)


class Timings:
    """The timers of a process."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.timings: dict[str, Timing] = {}

    def add(self, name: str, milliseconds: float) -> None:
        """Add a value; each value has the same probability of being reported."""
        timing = self.timings.setdefault(name, Timing())
        timing.count += 1
        if len(timing.reservoir) < MAX_TIMER_VALUES:
            timing.reservoir.append(milliseconds)
            return
        position = self.rng.randrange(timing.count)
        if position < MAX_TIMER_VALUES:
            timing.reservoir[position] = milliseconds

    def take_all(self) -> dict[str, Timing]:
        """Return the timers since the last call, and reset them."""
        taken, self.timings = self.timings, {}
        return taken


class MetricsReporter:
    """Sends samples and timings to statsd.

    Attributes:
        sample: Returns the current counters and gauges of the process.
        totals: Counter totals at the last report.
    """

    def __init__(
        self,
        listen: SocketAddress,
        role: str,
        name: str,
        sample: Callable[[], Sample],
        timings: Timings,
    ):
        prefix = f"{PREFIX}.{role}.{metric_segment(name)}"
        is_ipv6 = ":" in listen.host
        self.client = StatsClient(listen.host, listen.port, prefix, ipv6=is_ipv6)
        # The statsd library has no option for a non-blocking socket.
        self.client._sock.setblocking(False)
        self.sample = sample
        self.timings = timings
        self.totals: dict[str, int] = {}

    def subscribe(self, timers: Timers) -> None:
        """Start reporting every ``REPORT_SECONDS``."""
        timers.every(REPORT_SECONDS, "metrics", self.report)

    async def report(self) -> None:
        """Send one report, in as few datagrams as possible."""
        sample = self.sample()
        with self.client.pipeline() as pipe:
            for name, total in sample.counters.items():
                added = self._counter_increase(name, total)
                if added:
                    pipe.incr(name, added)
            for name, value in sample.gauges.items():
                pipe.gauge(name, value)
            for name, timing in self.timings.take_all().items():
                self._send_timing(pipe, name, timing)

    def _counter_increase(self, name: str, total: int) -> int:
        """Return the increase of a counter, or its total if it was reset."""
        known = self.totals.get(name, 0)
        self.totals[name] = total
        return total - known if total >= known else total

    def _send_timing(self, pipe: StatsClient, name: str, timing: Timing) -> None:
        """Send the sampled values with their sample rate."""
        rate = len(timing.reservoir) / timing.count
        mark = f"|@{rate:.6f}" if rate < 1 else ""
        for value in timing.reservoir:
            pipe._send_stat(name, f"{value:.3f}|ms{mark}", 1)


def metric_segment(name: str) -> str:
    """Return a name with its dots replaced, as one segment of a metric name."""
    return name.replace(".", "_")
