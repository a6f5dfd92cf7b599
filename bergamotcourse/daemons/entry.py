"""The entry daemon: starts and stops the parts of an entry process."""

import random

import eliot
import trio

from bergamotcourse.coordination.entry import Entry, EntryOptions
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.admin_api import AdminApi
from bergamotcourse.daemons.entry_api import EntryApi
from bergamotcourse.daemons.log_file import eliot_events, open_log
from bergamotcourse.daemons.metric_samples import (
    entry_sample,
    record_entry_task_times,
    with_response_times,
)
from bergamotcourse.daemons.metrics import MetricsReporter, Timings
from bergamotcourse.daemons.process import (
    POLL_SECONDS,
    serve_http,
    watch_signals,
)
from bergamotcourse.daemons.supervision import log_failures
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.platform_client import PlatformClient
from bergamotcourse.state.settings import EntrySettings
from bergamotcourse.transport.http_server import HttpServer, ServerLimits
from bergamotcourse.transport.nng_link import NngLink

ADMIN_BODY_BYTES = 8 << 20
"""Limit of an administration request; a manifest of some hundred teams has 100 kB."""

FINAL_ANSWERS_SECONDS = 1.0
"""Wait for the responses of submissions that were cancelled by a stop."""


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until it receives a stop signal."""
    open_log(settings.log)
    rng = random.Random()
    timers = Timers(rng)
    mailer = Mailer(NngLink(settings.link.host, settings.link.port), rng=rng)
    log_failures(eliot_events(), mailer, timers)
    platform = PlatformClient.connect(
        settings.platform.host, settings.platform.port, settings.name
    )
    entry = Entry(entry_options(settings), mailer, platform, timers, rng)
    server = callers_server(settings, entry, rng)
    admin = admin_server(settings, entry)

    async def wait_until_idle(timeout: float) -> bool:
        """Return true once no request is open, false after a timeout in seconds."""
        with trio.move_on_after(timeout):
            await server.wait_stopped()
            while entry.dispatcher.in_flight or entry.dispatcher.queued():
                await trio.sleep(POLL_SECONDS)
            return True
        return False

    async def stop() -> None:
        eliot.log_message("entry:stopping", entry=entry.id)
        await entry.begin_stop()
        server.begin_stop()
        if not await wait_until_idle(settings.drain_seconds):
            cancel_open_submissions(entry)
            await wait_until_idle(FINAL_ANSWERS_SECONDS)
        await entry.leave()
        await mailer.drain(1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(mailer.run)
        await mailer.link.wait_open()
        nursery.start_soon(timers.run)
        nursery.start_soon(entry.run)
        for listener in [server, *admin]:
            nursery.start_soon(serve_http, listener)
            await listener.wait_open()
        eliot.log_message(
            "entry:open", entry=entry.id, http=server.port, link=mailer.link.address
        )
        await watch_signals(stop, nursery.cancel_scope)
    await platform.aclose()


def callers_server(
    settings: EntrySettings, entry: Entry, rng: random.Random
) -> HttpServer:
    """Return the server of the callers' API.

    With a statsd address in the settings, its responses are timed and reported.
    """
    handler = EntryApi(entry).handle
    if settings.statsd is not None:
        timings = Timings(rng)
        record_entry_task_times(entry, timings)
        handler = with_response_times(handler, entry.timers, timings)
        reporter = MetricsReporter(
            settings.statsd,
            "entry",
            settings.name,
            lambda: entry_sample(entry),
            timings,
        )
        reporter.subscribe(entry.timers)
    limits = settings.http_limits
    return HttpServer(
        settings.http.host,
        settings.http.port,
        handler,
        ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_seconds=limits.header_seconds,
            body_seconds=limits.body_seconds,
            idle_seconds=limits.idle_seconds,
            write_seconds=limits.write_seconds,
            connections=limits.connections,
        ),
    )


def admin_server(settings: EntrySettings, entry: Entry) -> list[HttpServer]:
    """Return the server of the administration API, or no server if not configured."""
    if settings.admin is None:
        return []
    listen = settings.admin
    limits = ServerLimits(body_bytes=ADMIN_BODY_BYTES)
    return [HttpServer(listen.host, listen.port, AdminApi(entry).handle, limits)]


def cancel_open_submissions(entry: Entry) -> None:
    """Cancel all open submissions, so that each caller receives a final outcome."""
    eliot.log_message("entry:gave_up_waiting", entry=entry.id)
    dispatcher = entry.dispatcher
    tasks = list(dispatcher.in_flight.values())
    for held in dispatcher.held.values():
        tasks += held
    for queue in dispatcher.queues.values():
        for team in [*queue.singles.teams.values(), *queue.jobs.teams.values()]:
            tasks += [waiting.item for waiting in team.heap if not waiting.removed]
    submissions = {task.submission.id: task.submission for task in tasks}
    for submission in submissions.values():
        dispatcher.cancel(submission)


def entry_options(settings: EntrySettings) -> EntryOptions:
    """Return the options of an entry from its settings."""
    return EntryOptions(
        name=settings.name,
        zone=settings.zone,
        lease_seconds=settings.lease_seconds,
        token_seconds=settings.token_seconds,
        heartbeat_seconds=settings.heartbeat_seconds,
        retention_seconds=settings.retention_seconds,
        answer_bytes=settings.answer_bytes,
        log_sample=settings.log_sample,
        neighbours=settings.neighbours,
    )
