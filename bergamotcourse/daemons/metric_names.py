"""The statsd metrics of the processes, and their reference page."""

from dataclasses import dataclass
from enum import Enum


class MetricKind(Enum):
    """The statsd metric types."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


@dataclass(frozen=True)
class Metric:
    """Documentation of one metric.

    Attributes:
        name: Name, with variable parts in braces.
    """

    name: str
    kind: MetricKind
    help: str


def _counter(name: str, help_text: str) -> Metric:
    return Metric(name, MetricKind.COUNTER, help_text)


def _gauge(name: str, help_text: str) -> Metric:
    return Metric(name, MetricKind.GAUGE, help_text)


def _timer(name: str, help_text: str) -> Metric:
    return Metric(name, MetricKind.TIMER, help_text)


LINK_METRICS = (
    _counter("link.messages_sent", "messages to other processes"),
    _counter("link.messages_received", "messages from other processes"),
    _counter("link.batches_sent", "envelopes of messages sent"),
    _counter("link.batches_received", "envelopes of messages received"),
    _counter("link.bytes_sent", "bytes of the envelopes sent"),
    _counter("link.bytes_received", "bytes received"),
    _counter("link.dropped", "messages known not to have been sent"),
    _counter("link.undecodable", "payloads received that could not be decoded"),
    _counter("link.late_replies", "replies that match no pending request"),
)

ENTRY_METRICS = (
    _counter("outcome.{outcome}", "tasks by final outcome"),
    _counter("dispatch.{event}", "events of the dispatcher, such as sends and retries"),
    _counter("claim.{answer}", "claims on the ranges of this entry, by answer"),
    *LINK_METRICS,
    _gauge("ready", "1 while the entry is ready for callers"),
    _gauge("config.version", "version of the configuration in force"),
    _gauge("lease.left_seconds", "seconds until the lease expires"),
    _gauge("ranges.owned", "ranges of the key space owned here"),
    _gauge("agents.{health}", "agents by health"),
    _gauge("queue.{service}.requests", "single requests queued here"),
    _gauge("queue.{service}.job_tasks", "tasks of jobs queued here"),
    _gauge("in_flight", "tasks at agents"),
    _gauge("retry_budget", "retries available in the retry budget"),
    _timer("response", "time from a caller's complete request to its response"),
    _timer("task.run", "time that a task ran at its upstream"),
    _timer("task.wait", "time that a task waited at its agent for a slot"),
)

AGENT_METRICS = (
    _counter("started", "tasks admitted"),
    _counter("refused", "starts refused"),
    _counter("result.{outcome}", "results by outcome"),
    *LINK_METRICS,
    _gauge("slots.{service}", "slots of the upstreams that accept new tasks"),
    _gauge("running.{service}", "tasks at upstreams"),
    _gauge("waiting.{service}", "tasks waiting for a slot"),
    _gauge("upstreams", "announced upstreams"),
    _gauge("entries", "entries that receive this agent's state"),
    _timer("task.run", "time that a task ran at its upstream"),
    _timer("task.wait", "time that a task waited for a slot"),
)

TABLE_HEAD = "| Name | Kind | Meaning |\n| --- | --- | --- |\n"


def metrics_page() -> str:
    """Return the reference page of the metrics, in Markdown."""
    return "\n".join(
        [
            "# Metrics\n\nGenerated from `bergamotcourse/daemons/metric_names.py`; a"
            " test checks that this page is up to date and that it lists what is"
            " sent.\n",
            "A process reports every 5 seconds to the `statsd` address of its settings,"
            " over UDP. Each metric name has the prefix `bergamotcourse.entry.NAME.` or"
            " `bergamotcourse.agent.NAME.`, where NAME is the name of the process; a"
            " dot in a process or service name becomes `_`. Counters are sent as the"
            " increase since the last report. Timers are in milliseconds; of each, at"
            " most 32 randomly sampled values are sent in a report, with the sample"
            " rate. A datagram that cannot be sent without blocking is dropped.\n",
            "## Entry\n\n" + _table(ENTRY_METRICS),
            "## Agent\n\n" + _table(AGENT_METRICS),
        ]
    )


def _table(metrics: tuple[Metric, ...]) -> str:
    return TABLE_HEAD + "".join(
        f"| `{one.name}` | {one.kind.value} | {one.help} |\n" for one in metrics
    )
