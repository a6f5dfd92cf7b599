"""Exports the metrics of a job daemon in the Prometheus text format."""

from collections.abc import Iterable
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST as CONTENT_TYPE
from prometheus_client.registry import Collector

from bergamotcourse.daemons.job_metrics import BUCKET_BOUNDS_SECONDS, JobMetrics

__all__ = ["CONTENT_TYPE", "render_metrics"]

BUCKET_LABELS = [*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"]


class JobCollector(Collector):
    """Exposes the counters and histograms of a daemon to the Prometheus client."""

    def __init__(self, metrics: JobMetrics):
        self.metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Yield the metric families."""
        yield self._events()
        yield self._latencies()
        yield from self._peers()

    def _events(self) -> Metric:
        family = CounterMetricFamily(
            "bergamotcourse_events",
            "Decisions and state changes, by kind and outcome.",
            labels=["event", "outcome"],
        )
        for labels, count in self.metrics.events.items():
            family.add_metric(labels, count)
        return family

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            "bergamotcourse_seconds",
            "Seconds that jobs, waits for a start, and runs took, by outcome.",
            labels=["stage", "outcome"],
        )
        for labels, latencies in self.metrics.latencies.items():
            buckets = list(
                zip(BUCKET_LABELS, accumulate(latencies.counts), strict=True)
            )
            family.add_metric(labels, buckets, latencies.total)
        return family

    def _peers(self) -> Iterable[Metric]:
        metrics = self.metrics
        sent = CounterMetricFamily(
            "bergamotcourse_peer_bytes", "Bytes sent, by peer.", labels=["peer"]
        )
        for peer, size in metrics.bytes_by_peer().items():
            sent.add_metric([peer], size)
        yield sent
        repeated = CounterMetricFamily(
            "bergamotcourse_peer_retransmissions",
            "Retransmissions, by peer.",
            labels=["peer"],
        )
        for peer, count in metrics.retransmissions.items():
            repeated.add_metric([peer], count)
        yield repeated
        round_trips = GaugeMetricFamily(
            "bergamotcourse_peer_round_trip_seconds",
            "Latest round trip of a message, by peer.",
            labels=["peer"],
        )
        for peer, seconds in metrics.round_trips().items():
            round_trips.add_metric([peer], seconds)
        yield round_trips
        slowness = GaugeMetricFamily(
            "bergamotcourse_agent_slowness",
            "Run time over estimate at the upstream, by agent, where known.",
            labels=["agent"],
        )
        for agent, ratio in metrics.slowness().items():
            slowness.add_metric([agent], ratio)
        yield slowness


def render_metrics(metrics: JobMetrics) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(JobCollector(metrics))
    return generate_latest(registry)
