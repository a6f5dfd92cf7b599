"""The platform as the job daemons see it; implements ``JobPlatform``."""

from collections.abc import Callable

from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.platform.documents import decode_queues
from bergamotcourse.platform.front import (
    CallersFront,
    ReadinessFront,
    ReportsFront,
    UnusedFront,
)
from bergamotcourse.platform.settings_file import read_settings
from bergamotcourse.platform.store import Store
from bergamotcourse.platform.worker_orders import WorkerOrders
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.state.node_settings import NodeSettings
from bergamotcourse.transport.http import Handler


class Platform:
    """The platform of a machine with a settings file."""

    def __init__(self, path: str):
        self.path = path

    def settings(self) -> NodeSettings:
        """Read the settings anew."""
        return read_settings(self.path)

    def store(self, settings: NodeSettings) -> Store:
        """Return a client of the store."""
        return Store(settings.store)

    def orders(self, report: UpstreamReport, token: int) -> OrderPort:
        """Return the port to a worker."""
        return WorkerOrders.connect(report, token)

    def decode_queues(self, content: bytes) -> QueueTable:
        """Decode a configuration."""
        return decode_queues(content)

    def callers(self, service: JobService) -> Handler:
        """Return the handler of callers' requests."""
        return CallersFront(service).handle

    def readiness(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler that tells whether an entry wants callers."""
        return ReadinessFront(is_ready).handle

    def reports(self, executor: Executor, on_change: Callable[[], None]) -> Handler:
        """Return the handler of workers' reports."""
        return ReportsFront(executor, on_change).handle

    def unused(self) -> Handler:
        """Return the handler of an address that has no use."""
        return UnusedFront().handle
