"""Interfaces that the job daemons require from a platform, by role."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.protocol.job_store import JobStore
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.state.node_settings import NodeSettings
from bergamotcourse.transport.http import Handler

if TYPE_CHECKING:
    # At run time, these imports would load the parts of both roles in each process.
    from bergamotcourse.coordination.jobs.executor import Executor
    from bergamotcourse.coordination.jobs.job_service import JobService


class Platform(Protocol):
    """A platform: provides the settings, the store and the queue configuration."""

    def settings(self) -> NodeSettings:
        """Read the settings from their source.

        Raises:
            BergamotcourseError: The settings cannot be read or are invalid.
        """

    def store(self, settings: NodeSettings, log: EventLog) -> JobStore:
        """Return a client of the store; it logs rows that it cannot read."""

    def decode_queues(self, content: bytes) -> QueueTable:
        """Decode the queue table of a configuration.

        Raises:
            ValueError: The configuration is malformed.
        """


class EntryPlatform(Platform, Protocol):
    """Platform interface of an entry."""

    def callers(self, service: "JobService") -> Handler:
        """Return the handler of callers' requests."""

    def readiness(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler of readiness checks."""

    def unused(self) -> Handler:
        """Return the handler for an address that must be served but is not used."""


class AgentPlatform(Platform, Protocol):
    """Platform interface of an agent."""

    def orders(self, report: UpstreamReport, token: int) -> OrderPort:
        """Return the port for sending orders to an upstream with a fencing token."""

    def reports(
        self, executor: "Executor", on_change: Callable[[], None], log: EventLog
    ) -> Handler:
        """Return the handler of upstream reports, which calls back on changes."""
