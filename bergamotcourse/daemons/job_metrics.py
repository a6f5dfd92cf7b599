"""Counters and latency histograms of a job daemon, derived from its log events.

Events are counted without the metrics library, which is imported on the first scrape:
importing it at startup would take a seventh of the startup time, and 3 MB, while
callers wait for the process.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_problem import plain_problem

METRICS_PATH = "/metrics"

BUCKET_BOUNDS_SECONDS = (
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
"""Tasks take 50 ms to several seconds, and latency objectives are 1.6 times that."""

LATENCY_FIELDS = {
    "job.settled": ("job", "took_ms"),
    "run.start": ("start", "waited_ms"),
    "run.end": ("run", "ran_ms"),
}
"""Stage of the histogram and log field with milliseconds, by kind of event."""


@dataclass
class Latencies:
    """Histogram of the latencies of one stage.

    Attributes:
        counts: Observations in each bucket; the last is above all bounds.
        total: Sum of the observations in seconds.
    """

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
    )
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add an observation."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


class JobMetrics:
    """Counts events by kind and outcome, and records latencies from their fields.

    Attributes:
        events: Number of events by kind and outcome.
        latencies: Histograms by stage and outcome.
        retransmissions: Number of retransmissions by peer.
        bytes_by_peer: Returns the bytes sent to each peer.
        round_trips: Returns the latest round trip to each peer in seconds.
        slowness: Returns the known slowness of each agent's upstream.
    """

    def __init__(self):
        self.events: Counter[tuple[str, str]] = Counter()
        self.latencies: dict[tuple[str, str], Latencies] = {}
        self.retransmissions: Counter[str] = Counter()
        self.bytes_by_peer: Callable[[], Mapping[str, float]] = dict
        self.round_trips: Callable[[], Mapping[str, float]] = dict
        self.slowness: Callable[[], Mapping[str, float]] = dict

    def sink(self, kind: str, fields: dict[str, Any]) -> None:
        """Count one event, and record its latency if it has one."""
        outcome = str(fields.get("outcome") or fields.get("verdict") or "")
        self.events[kind, outcome] += 1
        if kind == "items.sent_again":
            self.retransmissions[fields["peer"]] += 1
        if kind in LATENCY_FIELDS:
            stage, field_name = LATENCY_FIELDS[kind]
            latencies = self.latencies.setdefault((stage, outcome), Latencies())
            latencies.observe(fields[field_name] / 1000)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a scrape of the metrics."""
        if request.method != "GET" or request.target.split("?")[0] != METRICS_PATH:
            return plain_problem(404, f"only GET {METRICS_PATH} is served")
        from bergamotcourse.daemons.job_metrics_page import CONTENT_TYPE, render_metrics

        return HttpResponse(200, [("content-type", CONTENT_TYPE)], render_metrics(self))
