"""The text of a job daemon's metrics, written by the metrics library."""

from collections.abc import Iterable
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST as CONTENT_TYPE
from prometheus_client.registry import Collector

from bergamotcourse.daemons.job_metrics import BUCKETS, JobMetrics

__all__ = ["CONTENT_TYPE", "render"]

BOUNDS = [*map(str, BUCKETS), "+Inf"]


class JobCollector(Collector):
    """Hands the counts of a daemon to the metrics library."""

    def __init__(self, metrics: JobMetrics):
        self.metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Return the families of metrics."""
        yield self._events()
        yield self._latencies()

    def _events(self) -> Metric:
        family = CounterMetricFamily(
            "bergamotcourse_events",
            "Decisions and changed beliefs, by kind and outcome.",
            labels=["event", "outcome"],
        )
        for labels, count in self.metrics.events.items():
            family.add_metric(labels, count)
        return family

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            "bergamotcourse_seconds",
            "Seconds of a job, of the wait for its start, of a run, by outcome.",
            labels=["stage", "outcome"],
        )
        for labels, latencies in self.metrics.latencies.items():
            buckets = list(zip(BOUNDS, accumulate(latencies.counts), strict=True))
            family.add_metric(labels, buckets, latencies.total)
        return family


def render(metrics: JobMetrics) -> bytes:
    """Return the text of the metrics."""
    registry = CollectorRegistry()
    registry.register(JobCollector(metrics))
    return generate_latest(registry)
