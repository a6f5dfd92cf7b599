"""Turns the requests of a caller into submissions to the entry."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus

from bergamotcourse.coordination.access import Access
from bergamotcourse.coordination.entry import Entry
from bergamotcourse.coordination.submissions import Refused, SubmissionAnswer
from bergamotcourse.daemons.request_fields import KEY_HEADER, check_key, tasks_digest
from bergamotcourse.daemons.responses import problem
from bergamotcourse.ids import ServiceName, SubmissionId, submission_id
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.keys import key_kind
from bergamotcourse.state.manifest import Service, Team, TeamRole
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest
from bergamotcourse.transport.http import HttpRequest, HttpResponse


@dataclass
class Caller:
    """An authenticated team and the entry that it calls.

    Attributes:
        access: Index of the teams and services in the current manifest.
    """

    team: Team
    access: Access
    entry: Entry

    def service(self, name: str) -> Service | None:
        """Return a service of the manifest by name, or ``None`` if there is none."""
        return self.access.services.get(ServiceName(name))

    def refusal_response(
        self, name: str, service: Service | None, request: HttpRequest
    ) -> HttpResponse | None:
        """Return the error response if the manifest forbids a request, else ``None``.

        The outcome "not run" is given only without an idempotency key: with a key,
        an earlier request may have run before the manifest changed.
        """
        outcome = None if request.header(KEY_HEADER) else Outcome.NOT_RUN
        if service is None:
            detail = f"no service is named {name!r}"
            return problem(HTTPStatus.NOT_FOUND, detail, outcome)
        if not self._may_submit(name):
            detail = f"team {self.team.name} may not use {name}"
            return problem(HTTPStatus.FORBIDDEN, detail, outcome)
        if len(request.body) > service.max_body_bytes:
            detail = f"the body is over {service.max_body_bytes} bytes"
            return problem(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail, outcome)
        return None

    def build_submission(
        self,
        kind: SubmissionKind,
        service: Service,
        tasks: list[TaskRequest],
        timeout: float,
    ) -> Submission:
        """Return a submission without a key, due ``timeout`` seconds from now."""
        return Submission(
            id=SubmissionId(self.entry.rng.randbytes(16)),
            kind=kind,
            team=self.team.name,
            service=service.name,
            tasks=tasks,
            digest=tasks_digest(service.name, tasks),
            deadline=self.entry.timers.now() + timeout,
            weight=self.team.weight,
        )

    def assign_key(self, submission: Submission, key: str) -> None:
        """Set the identity of a submission from its idempotency key."""
        submission.id = submission_id(self.team.name, key)
        submission.key = key_kind(key)

    async def run_keyed(
        self, submission: Submission, key: str, write_ahead: bool
    ) -> SubmissionAnswer:
        """Run a submission under its key, or wait for the one already running."""
        bad_key = check_key(key)
        if bad_key:
            return Refused(Outcome.NOT_RUN, bad_key, invalid=True)
        self.assign_key(submission, key)
        ahead = write_ahead and self.access.manifest.write_ahead
        with self._traced(submission):
            return await self.entry.submissions.run_keyed(submission, ahead)

    async def run_unkeyed(self, submission: Submission) -> SubmissionAnswer:
        """Run a submission without a key, which cannot be resubmitted."""
        with self._traced(submission):
            return await self.entry.submissions.run_unkeyed(submission)

    @contextmanager
    def _traced(self, submission: Submission) -> Iterator[None]:
        self.entry.tracer.begin_trace(submission)
        try:
            yield
        finally:
            self.entry.tracer.end_trace(submission)

    def start_keyed(self, submission: Submission, key: str) -> Refused | None:
        """Start a submission under its key without waiting for its result.

        Returns:
            Why it was refused, or ``None``.
        """
        self.assign_key(submission, key)
        write_ahead = self.access.manifest.write_ahead
        return self.entry.submissions.start_keyed(submission, write_ahead)

    def _may_submit(self, service: str) -> bool:
        if service not in self.team.services:
            return False
        return TeamRole.SUBMIT in self.team.roles
