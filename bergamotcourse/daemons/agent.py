"""The agent daemon: starts and stops the parts of an agent process."""

import random

import eliot
import trio

from bergamotcourse.coordination.agent import Agent, AgentLimits, AgentLocation
from bergamotcourse.coordination.agent_tracing import AgentTracer
from bergamotcourse.coordination.epoch_reader import read_epochs
from bergamotcourse.coordination.membership import AgentRegistration
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.agent_api import AgentApi
from bergamotcourse.daemons.log_file import eliot_events, open_log
from bergamotcourse.daemons.metric_samples import agent_sample, record_agent_task_times
from bergamotcourse.daemons.metrics import MetricsReporter, Timings
from bergamotcourse.daemons.process import (
    serve_http,
    wait_until,
    watch_signals,
)
from bergamotcourse.daemons.supervision import log_failures
from bergamotcourse.ids import AgentId
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.platform_client import PlatformClient
from bergamotcourse.state.lease_rows import AgentRow
from bergamotcourse.state.settings import AgentSettings
from bergamotcourse.transport.http_server import HttpServer
from bergamotcourse.transport.nng_link import NngLink

REGISTRATION_SECONDS = 2.0

RESULT_ACK_SECONDS = 1.0
"""Wait for the entries to acknowledge all results when the agent stops."""


async def run_agent(settings: AgentSettings) -> None:
    """Run an agent until it receives a stop signal."""
    open_log(settings.log)
    rng = random.Random()
    timers = Timers(rng)
    mailer = Mailer(NngLink(settings.link.host, settings.link.port), rng=rng)
    log_failures(eliot_events(), mailer, timers)
    platform = PlatformClient.connect(
        settings.platform.host, settings.platform.port, settings.name
    )
    location = AgentLocation(
        AgentId(settings.name), settings.zone, settings.rack, settings.worker
    )
    agent = Agent(location, agent_limits(settings), mailer, timers, rng)
    AgentTracer(agent)
    if settings.statsd is not None:
        timings = Timings(rng)
        record_agent_task_times(agent, timings)
        MetricsReporter(
            settings.statsd,
            "agent",
            settings.name,
            lambda: agent_sample(agent),
            timings,
        ).subscribe(timers)
    handler = AgentApi(agent).handle
    server = HttpServer(settings.http.host, settings.http.port, handler)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(mailer.run)
        await mailer.link.wait_open()
        registration = AgentRegistration(
            agent_row(agent, mailer.link.address), platform, timers
        )

        async def register() -> None:
            registration.set_services(agent.upstreams.services())
            await registration.watch()
            agent.first = bool(registration.first)
            if registration.registered and agent.start_log.lacks_epochs:
                await read_epochs(platform, agent.start_log, registration.skipped_rows)
            if registration.replaced and not agent.leaving:
                eliot.log_message("agent:replaced", agent=agent.location.id)
                agent.begin_leaving()

        def is_idle() -> bool:
            return not agent.runner.task_count()

        async def stop() -> None:
            eliot.log_message("agent:stopping", agent=agent.location.id)
            agent.begin_leaving()
            if not await wait_until(is_idle, settings.drain_seconds):
                cancel_all_tasks(agent)
                await wait_until(is_idle, RESULT_ACK_SECONDS)
            agent.report_to_all()
            await wait_until(lambda: not agent.attachments, RESULT_ACK_SECONDS)
            with trio.move_on_after(REGISTRATION_SECONDS):
                await registration.leave()

        timers.every(REGISTRATION_SECONDS, "registration", register)
        nursery.start_soon(timers.run)
        nursery.start_soon(agent.run)
        nursery.start_soon(serve_http, server)
        await server.wait_open()
        nursery.start_soon(timers.call_once, "registration", register)
        eliot.log_message(
            "agent:open",
            agent=agent.location.id,
            http=server.port,
            link=mailer.link.address,
        )
        await watch_signals(stop, nursery.cancel_scope)
    await platform.aclose()


def cancel_all_tasks(agent: Agent) -> None:
    """Cancel all tasks, so that their entries receive an outcome."""
    eliot.log_message("agent:gave_up_waiting", agent=agent.location.id)
    for submission, index in list(agent.runner.tasks):
        agent.runner.cancel(submission, index)


def agent_row(agent: Agent, address: str) -> AgentRow:
    """Return the store row by which entries discover an agent."""
    location = agent.location
    return AgentRow(
        location.id, address, location.zone, location.rack, location.worker, agent.boot
    )


def agent_limits(settings: AgentSettings) -> AgentLimits:
    """Return the limits of an agent from its settings."""
    return AgentLimits(
        token_seconds=settings.token_seconds,
        start_log_seconds=settings.start_log_seconds,
        result_bytes=settings.result_bytes,
        queue_tasks=settings.queue_tasks,
        heartbeat_seconds=settings.heartbeat_seconds,
        upstream_lease_seconds=settings.lease_seconds,
    )
