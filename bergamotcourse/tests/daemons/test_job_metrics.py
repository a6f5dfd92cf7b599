import trio

from bergamotcourse.daemons.job_metrics import JobMetrics
from bergamotcourse.transport.http import HttpRequest


def scrape(metrics, target="/metrics"):
    async def main():
        return await metrics.handle(HttpRequest("GET", target))

    return trio.run(main)


class TestJobMetrics:
    def test_counts_events_by_outcome(self):
        metrics = JobMetrics()
        metrics.sink("job.settled", {"outcome": "refused", "took_ms": 30})
        metrics.sink("run.start", {"verdict": "started", "waited_ms": 2})
        text = scrape(metrics).body.decode()
        assert (
            'bergamotcourse_events_total{event="job.settled",outcome="refused"} 1.0'
            in text
        )
        assert 'event="run.start",outcome="started"' in text

    def test_measures_the_latency_of_each_stage(self):
        metrics = JobMetrics()
        metrics.sink("run.end", {"outcome": "done", "ran_ms": 120})
        text = scrape(metrics).body.decode()
        name = 'bergamotcourse_seconds_bucket{le="0.15",outcome="done",stage="run"}'
        assert f"{name} 1.0" in text

    def test_tells_bytes_retransmissions_and_round_trips_by_peer(self):
        metrics = JobMetrics()
        metrics.bytes_by_peer = lambda: {"udp://10.0.0.1:4": 1200}
        metrics.round_trips = lambda: {"agent-1": 0.25}
        metrics.sink("items.sent_again", {"peer": "agent-1"})
        text = scrape(metrics).body.decode()
        for line in (
            'bergamotcourse_peer_bytes_total{peer="udp://10.0.0.1:4"} 1200.0',
            'bergamotcourse_peer_retransmissions_total{peer="agent-1"} 1.0',
            'bergamotcourse_peer_round_trip_seconds{peer="agent-1"} 0.25',
        ):
            assert line in text

    def test_tells_the_slowness_of_upstreams_by_agent(self):
        metrics = JobMetrics()
        metrics.slowness = lambda: {"agent-1": 1.8}
        text = scrape(metrics).body.decode()
        assert 'bergamotcourse_agent_slowness{agent="agent-1"} 1.8' in text

    def test_other_path_returns_404(self):
        assert scrape(JobMetrics(), "/other").status == 404
