"""Collects the metrics of entries and agents for statsd."""

from bergamotcourse.coordination.agent import Agent
from bergamotcourse.coordination.entry import Entry
from bergamotcourse.coordination.runner import AdmittedTask
from bergamotcourse.coordination.status import (
    agents_by_health,
    entry_status,
    link_counters,
)
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.metrics import Sample, Timings, metric_segment
from bergamotcourse.protocol.messages import TaskResult
from bergamotcourse.state.submission import Submission
from bergamotcourse.transport.http import Handler, HttpRequest, HttpResponse


def entry_sample(entry: Entry) -> Sample:
    """Return the counters and gauges of an entry."""
    status = entry_status(entry)
    gauges = {
        "ready": int(status.ready),
        "config.version": status.config.version,
        "lease.left_seconds": status.lease.left_seconds,
        "ranges.owned": len(status.ranges.hashed),
        "in_flight": len(entry.dispatcher.in_flight),
        "retry_budget": status.retry_budget,
    }
    for health, count in agents_by_health(status).items():
        gauges[f"agents.{health}"] = count
    for queue in status.queues:
        service = metric_segment(queue.service)
        gauges[f"queue.{service}.requests"] = queue.requests
        gauges[f"queue.{service}.job_tasks"] = queue.job_tasks
    return Sample(status.counters, gauges)


def agent_sample(agent: Agent) -> Sample:
    """Return the counters and gauges of an agent."""
    counters = {
        "started": agent.counters.started,
        "refused": sum(agent.counters.refused.values()),
    }
    for outcome, count in agent.counters.results.items():
        counters[f"result.{outcome}"] = count
    gauges = {
        "upstreams": len(agent.upstreams.upstreams),
        "entries": len(agent.attachments),
    }
    for service in agent.upstreams.services():
        part = metric_segment(service)
        gauges[f"slots.{part}"] = agent.upstreams.slots(service)
        gauges[f"running.{part}"] = agent.runner.running.get(service, 0)
        gauges[f"waiting.{part}"] = agent.runner.waiting_count(service)
    return Sample(counters | link_counters(agent.mailer), gauges)


def record_entry_task_times(entry: Entry, timings: Timings) -> None:
    """Wrap the dispatcher's outcome callback to record run and wait times of tasks."""
    inner = entry.dispatcher.on_outcome

    def record_and_forward(submission: Submission, result: TaskResult) -> None:
        _record_task_times(timings, result)
        inner(submission, result)

    entry.dispatcher.on_outcome = record_and_forward


def record_agent_task_times(agent: Agent, timings: Timings) -> None:
    """Wrap the agent's result callback to record run and wait times of tasks."""
    inner = agent.on_finished

    def record_and_forward(task: AdmittedTask, result: TaskResult) -> None:
        _record_task_times(timings, result)
        inner(task, result)

    agent.on_finished = record_and_forward


def with_response_times(handler: Handler, timers: Timers, timings: Timings) -> Handler:
    """Return a handler that records the response times of another."""

    async def handle(request: HttpRequest) -> HttpResponse:
        began = timers.now()
        response = await handler(request)
        timings.add("response", (timers.now() - began) * 1000)
        return response

    return handle


def _record_task_times(timings: Timings, result: TaskResult) -> None:
    if result.run_ms:
        timings.add("task.run", result.run_ms)
        timings.add("task.wait", result.wait_ms)
