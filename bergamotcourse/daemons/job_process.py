"""What the job daemons share: link, log, signals, settings that change."""

import os
import random
import signal
import sys
import time
from typing import Any, Protocol

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.policy import JobPolicy
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.daemons.job_metrics import JobMetrics
from bergamotcourse.daemons.job_platform import Platform
from bergamotcourse.daemons.json_log import JsonLog
from bergamotcourse.daemons.process import ignore_stops_at_the_end, serve_http
from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.state.node_settings import Endpoint, NodeSettings
from bergamotcourse.transport.datagram_link import SCHEME, DatagramLink
from bergamotcourse.transport.http import Handler
from bergamotcourse.transport.http_server import HttpServer, ServerLimits

WITHOUT_VARIABLE = "BERGAMOTCOURSE_WITHOUT"
"""Names mechanisms to switch off, with commas, to tell what each is worth."""

SETTINGS_SECONDS = 2.0
"""Between looks at settings that change without a signal."""

METRICS_PORT = 9464
"""Where the metrics are served; the deployment tells it to those who read them."""

LAST_MESSAGES_SECONDS = 0.2
"""For the link to hand over what was posted last."""

SERVER_LIMITS = ServerLimits(
    header_bytes=16384,
    body_bytes=1 << 20,
    header_seconds=3.0,
    body_seconds=5.0,
    idle_seconds=60.0,
    write_seconds=5.0,
    connections=2000,
)
"""A job of the most tasks has a body below 20 kB; a caller that sends slower than this
holds a connection for nothing."""


def link_address(endpoint: Endpoint) -> LinkAddress:
    """Return the link address of an endpoint."""
    return LinkAddress(f"{SCHEME}{endpoint}")


def policy_in_force() -> JobPolicy:
    """Return the mechanisms that decide in this process.

    Raises:
        BergamotcourseError: The variable names one that there is not.
    """
    names = os.environ.get(WITHOUT_VARIABLE, "").split(",")
    try:
        return JobPolicy.without([name for name in names if name])
    except ValueError as error:
        fault = StepError(Step.SETTINGS, WITHOUT_VARIABLE, str(error))
        raise BergamotcourseError(fault) from error


class Node:
    """The parts that every job daemon has.

    Attributes:
        policy: The mechanisms that decide.
        boot: Rises with each process of this machine: its clock counts on over
            restarts of processes.
    """

    def __init__(self, platform: Platform):
        self.platform = platform
        self.policy = policy_in_force()
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
        self.address = link_address(where)
        self.store = platform.store(self.settings, self.log)

    def steady_clock_ms(self) -> int:
        """Return the machine's steady clock in milliseconds, suspensions included."""
        return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)

    def _sink(self, kind: str, fields: dict[str, Any]) -> None:
        self.metrics.sink(kind, fields)
        self.json_log.sink(kind, fields)

    def seeds(self) -> list[LinkAddress]:
        """Return the links of entries that the settings name."""
        return [link_address(seed) for seed in self.settings.seeds]

    async def follow_settings(self, daemon: "Daemon") -> None:
        """Take settings that changed without a signal, until cancelled."""
        while True:
            await trio.sleep(SETTINGS_SECONDS)
            self.reload(daemon, "changed")

    def reload(self, daemon: "Daemon", why: str) -> None:
        """Read the settings anew; faulty ones leave the former in force."""
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
        """Start all parts."""

    async def stop(self) -> None:
        """Stop gracefully within the time that the settings give."""

    def settings_changed(self, settings: NodeSettings) -> None:
        """Take changed settings."""


def server(where: Endpoint, handler: Handler) -> HttpServer:
    """Return a server on an address."""
    return HttpServer(where.host, where.port, handler, SERVER_LIMITS)


def run_process(kind, platform: Platform) -> int:
    """Run a daemon until it is stopped, and return the process's exit code."""
    try:
        node = Node(platform)
    except BergamotcourseError as error:
        print(error, file=sys.stderr)
        return 1
    trio.run(_run, kind, node, strict_exception_groups=True)
    return 0


async def _run(kind, node: Node) -> None:
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
            nursery.start_soon(serve_http, server(where, node.metrics.handle))
            daemon = kind(node)
            await daemon.run(nursery)
            nursery.start_soon(node.follow_settings, daemon)
            await _watch_signals(daemon, nursery)
        await node.store.aclose()
        node.log.write("process.stop")
        logging.cancel_scope.cancel()


async def _watch_signals(daemon: Daemon, nursery: trio.Nursery) -> None:
    node = daemon.node
    stopping = False
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    ignore_stops_at_the_end()
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
    await daemon.node.mailer.drain(LAST_MESSAGES_SECONDS)
    scope.cancel()
