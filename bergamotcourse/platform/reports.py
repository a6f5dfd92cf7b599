"""The HTTP interface of an agent: workers' heartbeats and departure notices."""

from collections.abc import Callable
from urllib.parse import urlsplit

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.ids import ServiceName, UpstreamId
from bergamotcourse.platform.documents import (
    IgnoredField,
    decode_departure,
    decode_report,
)
from bergamotcourse.protocol.upstream_orders import LifeKey, UpstreamReport
from bergamotcourse.state.resources import Resources
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_json import json_answer
from bergamotcourse.transport.http_problem import plain_problem

HEARTBEAT_PATH = "/bergamotcourse/Instances.Heartbeat/"
DEREGISTER_PATH = "/bergamotcourse/Instances.Deregister/"

MAX_LOGGED_FAULTS = 1000
"""Faults of fields that are remembered as logged, so that memory stays bounded if
reports name ever new workers. Above this, they are logged again."""


class WorkerReportHandler:
    """Handles workers' heartbeats and departure notices.

    Attributes:
        on_change: Called after a heartbeat that changed the worker's incarnation,
            whether it drains, the reason for refusing tasks, or the capacity.
        read_service: Returns the current service of this machine's worker; empty if
            the platform does not specify it.
        service: The service that was read last.
        logged_faults: The ignored fields that were logged, with their worker.
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
        self.logged_faults: set[tuple[UpstreamId, IgnoredField]] = set()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        path = urlsplit(request.target).path
        if request.method != "POST":
            return plain_problem(405, "only POST is served")
        if path.startswith(HEARTBEAT_PATH):
            return self._handle_report(path.removeprefix(HEARTBEAT_PATH), request.body)
        if path.startswith(DEREGISTER_PATH):
            return self._handle_departure(
                path.removeprefix(DEREGISTER_PATH), request.body
            )
        return plain_problem(404, "no such call")

    def _handle_report(self, upstream: str, body: bytes) -> HttpResponse:
        try:
            ignored: list[IgnoredField] = []
            report = decode_report(upstream, body, ignored.append)
            self._check_service(report)
        except ValueError as error:
            self.log.write("report.skipped", upstream=upstream, why=str(error))
            return plain_problem(400, f"malformed report: {error}")
        for field in ignored:
            self._log_ignored(report.id, field)
        before = self._reported_state()
        self.executor.handle_upstream_report(report)
        if self._reported_state() != before:
            self.on_change()
        return json_answer({})

    def _handle_departure(self, upstream: str, body: bytes) -> HttpResponse:
        try:
            life = decode_departure(upstream, body)
        except ValueError as error:
            # The worker stops in any case, and notifies no other process.
            self.log.write("departure.malformed", upstream=upstream, why=str(error))
            life = decode_departure(upstream, b"")
        self.executor.handle_upstream_departure(life)
        return json_answer({})

    def _log_ignored(self, upstream: UpstreamId, field: IgnoredField) -> None:
        """Log an ignored field, once for each worker and kind of fault."""
        if (upstream, field) in self.logged_faults:
            return
        if len(self.logged_faults) >= MAX_LOGGED_FAULTS:
            self.logged_faults.clear()
        self.logged_faults.add((upstream, field))
        self.log.write(
            "report.field_ignored",
            upstream=upstream,
            field=field.name,
            why=field.fault.value,
        )

    def _reported_state(
        self,
    ) -> tuple[LifeKey | None, bool, str | None, Resources]:
        """Return the state that ``on_change`` reports.

        It consists of the worker's id and incarnation, whether it drains, the reason
        for refusing tasks, and the capacity. The reason alone does not show a drain
        that begins while the agent stops or its zone is evacuated.
        """
        executor = self.executor
        life = executor.life.report.life if executor.life else None
        draining = executor.life is not None and executor.life.report.draining
        return life, draining, executor.refusal(), executor.capacity()

    def _check_service(self, report: UpstreamReport) -> None:
        """Check that a report is of this machine's service.

        A report of another service, if accepted, would replace the worker on this
        machine and end all its runs.

        Raises:
            ValueError: The report is of another service.
        """
        if self.service and report.service != self.service:
            # The machine may have been assigned to another service since.
            self.service = self.read_service()
        if self.service and report.service != self.service:
            raise ValueError(f"the worker here is not of service {report.service!r}")
