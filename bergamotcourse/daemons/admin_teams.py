"""What a team, or an operator for it, may read of its work at this entry."""

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

MOST_JOBS = 1000


@dataclass(frozen=True)
class TeamUsage:
    """A team's work at one entry, beside its limits in the configuration.

    Attributes:
        in_flight: Tasks at agents.
        queued: Tasks that wait at the entry.
    """

    team: str
    in_flight: int
    queued: int
    max_in_flight: int
    quota_starts_per_second: float


@dataclass(frozen=True)
class JobStatus:
    """A job under a key that this entry runs, or whose answer it keeps.

    Attributes:
        submission: Hash of team and key, in hex; the key itself is not kept.
        outcome: Of the whole job; ``None`` while it runs.
    """

    submission: str
    service: str
    tasks: int
    open_tasks: int
    outcome: str | None


async def get_usage(request: AdminRequest) -> HttpResponse:
    """Answer with a team's usage at this entry."""
    team = _team(request)
    if isinstance(team, HttpResponse):
        return team
    dispatcher = request.entry.dispatcher
    in_flight = Counter(t.submission.team for t in dispatcher.in_flight.values())
    return json_answer(
        TeamUsage(
            team=team.name,
            in_flight=in_flight[team.name],
            queued=_queued(request, team.name),
            max_in_flight=team.max_in_flight,
            quota_starts_per_second=team.quota_starts_per_second,
        )
    )


async def list_jobs(request: AdminRequest) -> HttpResponse:
    """Answer with a team's jobs at this entry, those that run first."""
    team = _team(request)
    if isinstance(team, HttpResponse):
        return team
    jobs = [
        _job(submission)
        for submission in _submissions(request)
        if submission.team == team.name and submission.kind is SubmissionKind.JOB
    ]
    return json_answer(jobs[:MOST_JOBS])


def _team(request: AdminRequest) -> Team | HttpResponse:
    """Return the team that is asked about, or the refusal."""
    name = request.path["team"]
    own = request.team
    if own is not None and (own.name != name or TeamRole.READ not in own.roles):
        detail = f"team {own.name} may not read this"
        return admin_problem(HTTPStatus.FORBIDDEN, detail)
    for team in request.entry.config.manifest.teams:
        if team.name == name:
            return team
    return admin_problem(HTTPStatus.NOT_FOUND, f"no team is named {name!r}")


def _queued(request: AdminRequest, team: str) -> int:
    queues = request.entry.dispatcher.queues.values()
    waiting = [kind.teams.get(team) for q in queues for kind in (q.singles, q.jobs)]
    return sum(queue.size for queue in waiting if queue)


def _submissions(request: AdminRequest) -> Iterator[Submission]:
    answers = request.entry.answers
    yield from answers.running.values()
    for _, _, submission in reversed(answers.done.values()):
        yield submission


def _job(submission: Submission) -> JobStatus:
    done = submission.done.is_set()
    return JobStatus(
        submission=submission.id.hex(),
        service=submission.service,
        tasks=len(submission.tasks),
        open_tasks=submission.open_tasks,
        outcome=overall_outcome(submission.results).value if done else None,
    )
