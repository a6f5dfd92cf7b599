"""What the job daemons need of the platform they run on."""

from collections.abc import Callable
from typing import Protocol

from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.protocol.job_store import JobStore
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.state.node_settings import NodeSettings
from bergamotcourse.transport.http import Handler


class JobPlatform(Protocol):
    """A platform: where its settings are, how its calls look."""

    def settings(self) -> NodeSettings:
        """Read the settings anew.

        Raises:
            BergamotcourseError: They can't be read, or have faults.
        """

    def store(self, settings: NodeSettings) -> JobStore:
        """Return a client of the store."""

    def orders(self, report: UpstreamReport, token: int) -> OrderPort:
        """Return the port to an upstream."""

    def decode_queues(self, content: bytes) -> QueueTable:
        """Decode a configuration.

        Raises:
            ValueError: It is malformed.
        """

    def callers(self, service: JobService) -> Handler:
        """Return the handler of callers' requests."""

    def readiness(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler that tells whether an entry wants callers."""

    def reports(self, executor: Executor, on_change: Callable[[], None]) -> Handler:
        """Return the handler of upstreams' reports."""

    def unused(self) -> Handler:
        """Return the handler of an address that has no use."""
