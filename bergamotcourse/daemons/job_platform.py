"""What the job daemons need of the platform they run on, all and each role."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.protocol.job_store import JobStore
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.state.node_settings import NodeSettings
from bergamotcourse.transport.http import Handler

if TYPE_CHECKING:
    # Each role would import the other's parts with these.
    from bergamotcourse.coordination.jobs.executor import Executor
    from bergamotcourse.coordination.jobs.job_service import JobService


class Platform(Protocol):
    """A platform: where its settings and its store are."""

    def settings(self) -> NodeSettings:
        """Read the settings anew.

        Raises:
            BergamotcourseError: They can't be read, or have faults.
        """

    def store(self, settings: NodeSettings, log: EventLog) -> JobStore:
        """Return a client of the store, which logs what it cannot read there."""

    def decode_queues(self, content: bytes) -> QueueTable:
        """Decode a configuration.

        Raises:
            ValueError: It is malformed.
        """


class EntryPlatform(Platform, Protocol):
    """A platform as an entry sees it."""

    def callers(self, service: "JobService") -> Handler:
        """Return the handler of callers' requests."""

    def readiness(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler that tells whether an entry wants callers."""

    def unused(self) -> Handler:
        """Return the handler of an address that has no use."""


class AgentPlatform(Platform, Protocol):
    """A platform as an agent sees it."""

    def orders(self, report: UpstreamReport, token: int) -> OrderPort:
        """Return the port to an upstream."""

    def reports(
        self, executor: "Executor", on_change: Callable[[], None], log: EventLog
    ) -> Handler:
        """Return the handler of upstreams' reports."""
