"""Counters and latency histograms of a job daemon, told from its events.

Events are counted in plain numbers; the metrics library is loaded only once somebody
asks. At a start its import takes a seventh of the time, and 3 MB, of a process that
callers wait for.
"""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_problem import plain_problem

PATH = "/metrics"

BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    1.5,
    2.0,
    3.0,
    5.0,
    10.0,
)
"""Seconds: tasks take 50 ms to several seconds, and objectives are 1.6 times that."""

LATENCIES = {
    "job.settled": ("job", "took_ms"),
    "run.start": ("start", "waited_ms"),
    "run.end": ("run", "ran_ms"),
}
"""By kind of event: the name of its histogram, and the field that it measures."""


@dataclass
class Latencies:
    """Measured seconds of one stage.

    Attributes:
        counts: Values in each bucket, the last for those above all bounds.
        total: Their sum.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Take one value."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class JobMetrics:
    """Counts events by kind and outcome, and measures those that tell a time.

    Attributes:
        events: Counts by kind and outcome.
        latencies: Values by stage and outcome.
    """

    def __init__(self):
        self.events: Counter[tuple[str, str]] = Counter()
        self.latencies: dict[tuple[str, str], Latencies] = {}

    def sink(self, kind: str, fields: dict[str, Any]) -> None:
        """Take one event."""
        outcome = str(fields.get("outcome") or fields.get("verdict") or "")
        self.events[kind, outcome] += 1
        if kind in LATENCIES:
            stage, field_name = LATENCIES[kind]
            latencies = self.latencies.setdefault((stage, outcome), Latencies())
            latencies.observe(fields[field_name] / 1000)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the metrics."""
        if request.method != "GET" or request.target.split("?")[0] != PATH:
            return plain_problem(404, f"only GET {PATH} is served")
        from bergamotcourse.daemons.job_metrics_page import CONTENT_TYPE, render

        return HttpResponse(200, [("content-type", CONTENT_TYPE)], render(self))
