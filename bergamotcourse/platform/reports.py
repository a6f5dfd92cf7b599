"""The HTTP interface of an agent: workers' reports of themselves."""

from collections.abc import Callable
from urllib.parse import urlsplit

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.ids import ServiceName
from bergamotcourse.platform.documents import decode_departure, decode_report
from bergamotcourse.protocol.upstream_orders import LifeKey, UpstreamReport
from bergamotcourse.state.resources import Resources
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_json import json_answer
from bergamotcourse.transport.http_problem import plain_problem

REPORT_PATH = "/bergamotcourse/Instances.Heartbeat/"
LEAVE_PATH = "/bergamotcourse/Instances.Deregister/"


class ReportsFront:
    """Takes workers' reports of themselves.

    Attributes:
        on_change: Called after a report was taken.
        read_service: Returns the service that this machine's worker is of now; empty
            where the platform does not tell.
        service: As read last.
    """

    def __init__(
        self,
        executor: Executor,
        on_change: Callable[[], None],
        read_service: Callable[[], ServiceName],
        log: EventLog,
    ):
        self.executor = executor
        self.on_change = on_change
        self.read_service = read_service
        self.log = log
        self.service = read_service()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path = urlsplit(request.target).path
        if request.method != "POST":
            return plain_problem(405, "only POST is served")
        if path.startswith(REPORT_PATH):
            return self._report(path.removeprefix(REPORT_PATH), request.body)
        if path.startswith(LEAVE_PATH):
            return self._leave(path.removeprefix(LEAVE_PATH), request.body)
        return plain_problem(404, "no such call")

    def _report(self, upstream: str, body: bytes) -> HttpResponse:
        try:
            report = decode_report(upstream, body)
            self._check_service(report)
        except ValueError as error:
            self.log.write("report.skipped", upstream=upstream, why=str(error))
            return plain_problem(400, f"malformed report: {error}")
        before = self._known()
        self.executor.handle_upstream_report(report)
        if self._known() != before:
            self.on_change()
        return json_answer({})

    def _leave(self, upstream: str, body: bytes) -> HttpResponse:
        try:
            life = decode_departure(upstream, body)
        except ValueError as error:
            # It ends all the same, and tells nobody else.
            self.log.write("departure.malformed", upstream=upstream, why=str(error))
            life = decode_departure(upstream, b"")
        self.executor.handle_upstream_departure(life)
        return json_answer({})

    def _known(self) -> tuple[LifeKey | None, str | None, Resources]:
        """Return what others are told: the life here, what is refused, the capacity."""
        executor = self.executor
        life = executor.life.report.life if executor.life else None
        return life, executor.refusal(), executor.capacity()

    def _check_service(self, report: UpstreamReport) -> None:
        """Refuse the report of a service that is not this machine's.

        Taken, it would end the life of the worker that is here, and all its runs.

        Raises:
            ValueError: It is of another service.
        """
        if self.service and report.service != self.service:
            # The machine may have moved to another service since.
            self.service = self.read_service()
        if self.service and report.service != self.service:
            raise ValueError(f"the worker here is not of service {report.service!r}")
