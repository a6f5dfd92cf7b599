"""The platform's adapter for the process of a worker's agent."""

from collections.abc import Callable

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.daemons.job_agent import JobAgent
from bergamotcourse.daemons.job_process import run_process
from bergamotcourse.ids import ServiceName
from bergamotcourse.platform.machine import Machine
from bergamotcourse.platform.reports import WorkerReportHandler
from bergamotcourse.platform.worker_orders import WorkerOrders
from bergamotcourse.protocol.upstream_orders import OrderPort, UpstreamReport
from bergamotcourse.transport.http import Handler


class AgentMachine(Machine):
    """The platform's adapter for an agent; implements ``AgentPlatform``."""

    def orders(self, report: UpstreamReport, token: int) -> OrderPort:
        """Return the port that sends orders to the worker.

        Args:
            report: The worker's report; gives its address and its incarnation.
            token: The fencing token that the orders carry.
        """
        return WorkerOrders.connect(report, token)

    def reports(
        self, executor: Executor, on_change: Callable[[], None], log: EventLog
    ) -> Handler:
        """Return the HTTP handler of workers' reports."""
        return WorkerReportHandler(executor, on_change, self._service, log).handle

    def _service(self) -> ServiceName:
        return self.settings().service


def run() -> int:
    """Run an agent, and return the exit code of the process."""
    return run_process(JobAgent, AgentMachine())
