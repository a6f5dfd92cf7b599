"""Shared parts of the job daemons: link, log, metrics, signals and settings."""

import os
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.job_metrics import JobMetrics
from bergamotcourse.daemons.job_platform import Platform
from bergamotcourse.daemons.json_log import JsonLog
from bergamotcourse.daemons.process import ignore_sigterm_after_receiver, serve_http
from bergamotcourse.daemons.supervision import log_failures, run_supervised
from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.state.node_settings import Endpoint, NodeSettings
from bergamotcourse.transport.datagram_link import SCHEME, DatagramLink
from bergamotcourse.transport.http import Handler
from bergamotcourse.transport.http_server import HttpServer, ServerLimits

WITHOUT_VARIABLE = "BERGAMOTCOURSE_WITHOUT"
"""Comma-separated mechanisms to switch off, for measuring the effect of each."""

WITH_VARIABLE = "BERGAMOTCOURSE_WITH"
"""Comma-separated optional mechanisms to switch on."""

SETTINGS_POLL_SECONDS = 2.0
"""Interval of reading the settings, which may change without a signal."""

METRICS_PORT = 9464
"""Port of the metrics endpoint; the deployment configures scrapers with it."""

LINK_DRAIN_SECONDS = 0.2
"""Wait for the link to send the last queued messages."""

SERVER_LIMITS = ServerLimits(
    header_bytes=16384,
    body_bytes=1 << 20,
    header_seconds=3.0,
    body_seconds=5.0,
    idle_seconds=60.0,
    write_seconds=5.0,
    connections=2000,
)
"""The largest job has a body below 20 kB; the timeouts close the connections of callers
that send too slowly."""


def link_address(endpoint: Endpoint) -> LinkAddress:
    """Return the link address of an endpoint."""
    return LinkAddress(f"{SCHEME}{endpoint}")


def policy_from_environment() -> JobPolicy:
    """Return the policy with the mechanisms that the environment switches on or off.

    Raises:
        BergamotcourseError: A variable names an unknown mechanism.
    """
    variable = WITHOUT_VARIABLE
    try:
        policy = JobPolicy.without(names_in(variable))
        variable = WITH_VARIABLE
        return policy.with_mechanisms(names_in(variable))
    except ValueError as error:
        fault = StepError(Step.SETTINGS, variable, str(error))
        raise BergamotcourseError(fault) from error


def names_in(variable: str) -> list[str]:
    """Return the comma-separated names in an environment variable."""
    return [name for name in os.environ.get(variable, "").split(",") if name]


class Node:
    """The parts that every job daemon has.

    Attributes:
        policy: The scheduling mechanisms in use.
        boot: Incarnation of this process. It increases with each process on this
            machine, since the boot clock keeps counting across process restarts.
    """

    def __init__(self, platform: Platform):
        self.platform = platform
        self.policy = policy_from_environment()
        self.settings = platform.settings()
        self.rng = random.Random()
        self.timers = Timers(self.rng)
        self.boot = self.steady_clock_ms()
        self.json_log = JsonLog(self.settings.name)
        self.metrics = JobMetrics()
        self.log = EventLog(self._sink)
        where = self.settings.link
        self.mailer = Mailer(
            DatagramLink(where.host, where.port, self.rng), rng=self.rng
        )
        log_failures(self.log, self.mailer, self.timers)
        self.metrics.bytes_by_peer = lambda: self.mailer.counters.bytes_by_peer
        self.address = link_address(where)
        self.store = platform.store(self.settings, self.log)

    def steady_clock_ms(self) -> int:
        """Return milliseconds since the machine booted, including suspended time."""
        return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)

    def _sink(self, kind: str, fields: dict[str, Any]) -> None:
        self.metrics.sink(kind, fields)
        self.json_log.sink(kind, fields)

    def start_supervised(
        self,
        nursery: trio.Nursery,
        name: str,
        call: Callable[..., Awaitable[None]],
        *args: Any,
    ) -> None:
        """Start a task that is started again after each exception."""
        nursery.start_soon(run_supervised, name, self.log, call, *args)

    def seeds(self) -> list[LinkAddress]:
        """Return the link addresses of the seed entries in the settings."""
        return [link_address(seed) for seed in self.settings.seeds]

    async def poll_settings(self, daemon: "Daemon") -> None:
        """Reload the settings periodically until cancelled."""
        while True:
            await trio.sleep(SETTINGS_POLL_SECONDS)
            self.reload(daemon, "changed")

    def reload(self, daemon: "Daemon", why: str) -> None:
        """Reload the settings; if they are invalid, the current ones stay in use."""
        try:
            settings = self.platform.settings()
        except BergamotcourseError as error:
            self.log.write("settings.faulty", error=str(error))
            return
        if settings != self.settings or why != "changed":
            self.log.write("settings.reloaded", why=why)
            self.settings = settings
            daemon.settings_changed(settings)


class Daemon(Protocol):
    """A job daemon: an entry or an agent."""

    node: Node

    async def run(self, nursery: trio.Nursery) -> None:
        """Start all tasks of the daemon in a nursery."""

    async def stop(self) -> None:
        """Stop gracefully within the stop time of the settings."""

    def settings_changed(self, settings: NodeSettings) -> None:
        """Apply changed settings."""


def job_http_server(where: Endpoint, handler: Handler) -> HttpServer:
    """Return an HTTP server for an endpoint, with the limits of job daemons."""
    return HttpServer(where.host, where.port, handler, SERVER_LIMITS)


def run_process(daemon_class, platform: Platform) -> int:
    """Run a daemon until it stops, and return the exit code of the process."""
    try:
        node = Node(platform)
    except BergamotcourseError as error:
        print(error, file=sys.stderr)
        return 1
    trio.run(_run, daemon_class, node, strict_exception_groups=True)
    return 0


async def _run(daemon_class, node: Node) -> None:
    async with trio.open_nursery() as logging:
        logging.start_soon(node.json_log.run)
        node.log.write(
            "process.start",
            boot=node.boot,
            link=node.address,
            cpu_ms=round(time.process_time() * 1000),
            without=node.policy.switched_off(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.mailer.run)
            await node.mailer.link.wait_open()
            nursery.start_soon(node.timers.run)
            where = Endpoint(node.settings.link.host, METRICS_PORT)
            nursery.start_soon(serve_http, job_http_server(where, node.metrics.handle))
            daemon = daemon_class(node)
            await daemon.run(nursery)
            node.start_supervised(nursery, "settings", node.poll_settings, daemon)
            await _watch_signals(daemon, nursery)
        await node.store.aclose()
        node.log.write("process.stop")
        logging.cancel_scope.cancel()


async def _watch_signals(daemon: Daemon, nursery: trio.Nursery) -> None:
    node = daemon.node
    stopping = False
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    ignore_sigterm_after_receiver()
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            node.log.write("process.signal", signal=signal.Signals(number).name)
            if number == signal.SIGHUP:
                node.reload(daemon, "signal")
            elif not stopping:
                stopping = True
                nursery.start_soon(_stop, daemon, nursery.cancel_scope)


async def _stop(daemon: Daemon, scope: trio.CancelScope) -> None:
    await daemon.stop()
    await daemon.node.mailer.drain(LINK_DRAIN_SECONDS)
    scope.cancel()
