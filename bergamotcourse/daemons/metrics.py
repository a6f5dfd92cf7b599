"""Reports a process's counters, gauges and timers to statsd, every few seconds.

A report never blocks and never fails: a datagram that the kernel does not take at once
is dropped.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from statsd import StatsClient

from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.metric_names import MetricKind
from bergamotcourse.state.settings import SocketAddress

REPORT_SECONDS = 5.0
TIMINGS_KEPT = 32
"""Values of a timer in one report, at most."""

PREFIX = "bergamotcourse"


@dataclass(frozen=True)
class Sample:
    """What a process tells at one time.

    Attributes:
        counters: Totals since the start of the process.
    """

    counters: dict[str, int] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)

    def names(self) -> dict[str, MetricKind]:
        """Return the kind of each metric in it."""
        counters = dict.fromkeys(self.counters, MetricKind.COUNTER)
        return counters | dict.fromkeys(self.gauges, MetricKind.GAUGE)


@dataclass
class Timing:
    """The values of one timer since the last report: a random choice of them."""

    count: int = 0
    kept: list[float] = field(default_factory=list)


class Timings:
    """The timers of a process."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.timings: dict[str, Timing] = {}

    def add(self, name: str, milliseconds: float) -> None:
        """Note a value; each has the same chance to be reported."""
        timing = self.timings.setdefault(name, Timing())
        timing.count += 1
        if len(timing.kept) < TIMINGS_KEPT:
            timing.kept.append(milliseconds)
            return
        place = self.rng.randrange(timing.count)
        if place < TIMINGS_KEPT:
            timing.kept[place] = milliseconds

    def take(self) -> dict[str, Timing]:
        """Return the values since the last call."""
        taken, self.timings = self.timings, {}
        return taken


class MetricsReporter:
    """Sends samples and timings.

    Attributes:
        sample: Tells the metrics of the process now.
        totals: The counters as last reported.
    """

    def __init__(
        self,
        listen: SocketAddress,
        role: str,
        name: str,
        sample: Callable[[], Sample],
        timings: Timings,
    ):
        prefix = f"{PREFIX}.{role}.{metric_part(name)}"
        is_ipv6 = ":" in listen.host
        self.client = StatsClient(listen.host, listen.port, prefix, ipv6=is_ipv6)
        # The library has no setting for this.
        self.client._sock.setblocking(False)
        self.sample = sample
        self.timings = timings
        self.totals: dict[str, int] = {}

    def subscribe(self, timers: Timers) -> None:
        """Report every few seconds from now on."""
        timers.every(REPORT_SECONDS, "metrics", self.report)

    async def report(self) -> None:
        """Send one report, in as few datagrams as hold it."""
        sample = self.sample()
        with self.client.pipeline() as pipe:
            for name, total in sample.counters.items():
                added = self._added(name, total)
                if added:
                    pipe.incr(name, added)
            for name, value in sample.gauges.items():
                pipe.gauge(name, value)
            for name, timing in self.timings.take().items():
                self._send_timing(pipe, name, timing)

    def _added(self, name: str, total: int) -> int:
        """Return what a counter gained; after a new start of it, all of it."""
        known = self.totals.get(name, 0)
        self.totals[name] = total
        return total - known if total >= known else total

    def _send_timing(self, pipe: StatsClient, name: str, timing: Timing) -> None:
        """Send the kept values, marked with the share that they are."""
        rate = len(timing.kept) / timing.count
        mark = f"|@{rate:.6f}" if rate < 1 else ""
        for value in timing.kept:
            pipe._send_stat(name, f"{value:.3f}|ms{mark}", 1)


def metric_part(name: str) -> str:
    """Return a name as one part of a metric's name."""
    return name.replace(".", "_")
