"""Counters and latency histograms of a job daemon, told from its events."""

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

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


class JobMetrics:
    """Counts events by kind and outcome, and measures those that tell a time."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.events = Counter(
            "bergamotcourse_events",
            "Decisions and changed beliefs, by kind and outcome.",
            ["event", "outcome"],
            registry=self.registry,
        )
        self.seconds = Histogram(
            "bergamotcourse_seconds",
            "Seconds of a job, of the wait for its start, of a run, by outcome.",
            ["stage", "outcome"],
            buckets=BUCKETS,
            registry=self.registry,
        )

    def sink(self, kind: str, fields: dict[str, Any]) -> None:
        """Take one event."""
        outcome = str(fields.get("outcome") or fields.get("verdict") or "")
        self.events.labels(kind, outcome).inc()
        if kind in LATENCIES:
            stage, field = LATENCIES[kind]
            self.seconds.labels(stage, outcome).observe(fields[field] / 1000)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the metrics."""
        if request.method != "GET" or request.target.split("?")[0] != PATH:
            return plain_problem(404, f"only GET {PATH} is served")
        headers = [("content-type", CONTENT_TYPE_LATEST)]
        return HttpResponse(200, headers, generate_latest(self.registry))
