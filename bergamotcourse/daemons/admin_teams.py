"""Handlers of the administration API for the usage and jobs of a team."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

from bergamotcourse.coordination.submissions import overall_outcome
from bergamotcourse.daemons.admin_request import (
    AdminRequest,
    admin_problem,
)
from bergamotcourse.state.manifest import Team, TeamRole
from bergamotcourse.state.submission import Submission, SubmissionKind
from bergamotcourse.transport.http import HttpResponse
from bergamotcourse.transport.http_json import json_answer

MAX_LISTED_JOBS = 1000


@dataclass(frozen=True)
class TeamUsage:
    """Tasks of a team at one entry, with the team's configured limits.

    Attributes:
        in_flight: Tasks at agents.
        queued: Tasks queued at the entry.
    """

    team: str
    in_flight: int
    queued: int
    max_in_flight: int
    quota_starts_per_second: float


@dataclass(frozen=True)
class JobStatus:
    """A job that this entry runs, or whose result it retains.

    Attributes:
        submission: Hash of team and idempotency key, in hex; the key is not stored.
        outcome: Outcome of the whole job; ``None`` while it runs.
    """

    submission: str
    service: str
    tasks: int
    open_tasks: int
    outcome: str | None


async def get_usage(request: AdminRequest) -> HttpResponse:
    """Return the usage of a team at this entry."""
    team = _authorized_team(request)
    if isinstance(team, HttpResponse):
        return team
    dispatcher = request.entry.dispatcher
    in_flight = Counter(t.submission.team for t in dispatcher.in_flight.values())
    return json_answer(
        TeamUsage(
            team=team.name,
            in_flight=in_flight[team.name],
            queued=_queued_tasks(request, team.name),
            max_in_flight=team.max_in_flight,
            quota_starts_per_second=team.quota_starts_per_second,
        )
    )


async def list_jobs(request: AdminRequest) -> HttpResponse:
    """Return the jobs of a team at this entry, running jobs first."""
    team = _authorized_team(request)
    if isinstance(team, HttpResponse):
        return team
    jobs = [
        _job_status(submission)
        for submission in _submissions(request)
        if submission.team == team.name and submission.kind is SubmissionKind.JOB
    ]
    return json_answer(jobs[:MAX_LISTED_JOBS])


def _authorized_team(request: AdminRequest) -> Team | HttpResponse:
    """Return the requested team, or the response that denies access to it."""
    name = request.path["team"]
    own = request.team
    if own is not None and (own.name != name or TeamRole.READ not in own.roles):
        detail = f"team {own.name} may not read this"
        return admin_problem(HTTPStatus.FORBIDDEN, detail)
    for team in request.entry.config.manifest.teams:
        if team.name == name:
            return team
    return admin_problem(HTTPStatus.NOT_FOUND, f"no team is named {name!r}")


def _queued_tasks(request: AdminRequest, team: str) -> int:
    queues = request.entry.dispatcher.queues.values()
    waiting = [kind.teams.get(team) for q in queues for kind in (q.singles, q.jobs)]
    return sum(queue.size for queue in waiting if queue)


def _submissions(request: AdminRequest) -> Iterator[Submission]:
    answers = request.entry.answers
    yield from answers.running.values()
    for _, _, submission in reversed(answers.done.values()):
        yield submission


def _job_status(submission: Submission) -> JobStatus:
    done = submission.done.is_set()
    return JobStatus(
        submission=submission.id.hex(),
        service=submission.service,
        tasks=len(submission.tasks),
        open_tasks=submission.open_tasks,
        outcome=overall_outcome(submission.results).value if done else None,
    )
