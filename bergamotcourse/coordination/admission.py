"""Admission control: which submissions are refused on arrival, and the retry advice.

A submission is refused if it could not be served before its deadline, or could never
run. While a queue has been nonempty only briefly, everything that can meet its deadline
is admitted, so that a burst is absorbed. A standing queue is kept short, because a
longer one would only delay every request.
"""

from dataclasses import dataclass

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.estimates import RunEstimates
from bergamotcourse.coordination.fair_queue import FairQueue
from bergamotcourse.coordination.quotas import Quotas
from bergamotcourse.state.submission import Submission, SubmissionKind

STANDING_QUEUE_SECONDS = 2.0
"""A queue that has been nonempty for this long counts as standing."""

MAX_STANDING_QUEUE_WAIT_SECONDS = 0.25
"""Single requests with a longer estimated wait are refused while the queue stands."""

MAX_QUOTA_WAIT_SECONDS = 0.25
"""Single requests with a longer wait for their team's quota are refused."""

UPSTREAM_ABSENCE_GRACE_SECONDS = 2.0
"""Requests of a service without upstreams are admitted for this long after the last
one left, in case another is announced."""

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
RETRY_CAPACITY_SHARE = 0.5
"""Share of the capacity that is assumed to be free for callers that retry."""


@dataclass(frozen=True)
class Refusal:
    """Why a submission is refused.

    Attributes:
        detail: The reason, for the caller.
        retry_after: Seconds after which it may be admitted; 0 if it never will be.
    """

    detail: str
    retry_after: float


@dataclass
class Backlog:
    """The queue of one service, and the capacity that serves it.

    Attributes:
        queue: Tasks that wait at this entry.
        slots: Slots of all agents that serve it.
        in_flight: This entry's tasks at agents.
        nonempty_since: When the queue last became nonempty, in seconds; ``None`` if it
            is empty.
    """

    queue: FairQueue
    slots: int
    in_flight: int
    nonempty_since: float | None


class Admission:
    """Admits or refuses submissions on arrival.

    Attributes:
        next_retry_at: By service, the retry time given to the last refused caller, in
            seconds.
        last_served_at: By service, when an upstream was last known to serve it, in
            seconds.
    """

    def __init__(
        self, directory: AgentDirectory, estimates: RunEstimates, quotas: Quotas
    ):
        self.directory = directory
        self.estimates = estimates
        self.quotas = quotas
        self.next_retry_at: dict[str, float] = {}
        self.last_served_at: dict[str, float] = {}

    def evaluate(
        self, submission: Submission, backlog: Backlog, now: float
    ) -> Refusal | None:
        """Return why a submission is refused, or ``None`` if it is admitted."""
        refusal = self._refuse_unservable(submission, backlog, now)
        if refusal is not None:
            return refusal
        if submission.kind is SubmissionKind.JOB:
            return self._evaluate_job(submission, backlog, now)
        return self._evaluate_single(submission, backlog, now)

    def wait_seconds(
        self, team: str, weight: float, backlog: Backlog, run_seconds: float
    ) -> float:
        """Estimate the seconds that one more single request would wait in the queue.

        Args:
            team: The team that submits it.
            weight: The team's weight.
            backlog: The queue of the service.
            run_seconds: Mean run time of a task, in seconds.
        """
        singles = backlog.queue.singles
        if not singles.size:
            return 0.0
        rate = self._tasks_per_second(backlog, run_seconds)
        own = singles.nonempty.get(team)
        others = sum(t.weight for t in singles.nonempty.values() if t.name != team)
        share = weight / (weight + others)
        ahead = own.size if own else 0
        return min((ahead + 1) / (rate * share), (singles.size + 1) / rate)

    def _refuse_unservable(
        self, submission: Submission, backlog: Backlog, now: float
    ) -> Refusal | None:
        service, team = submission.service, submission.team
        permits = self.directory.permits
        if permits is not None and not permits.rules.get(service):
            return Refusal(f"the configuration permits no upstream for {service}", 0)
        if self.quotas.is_stopped(team):
            return Refusal(f"the configuration lets team {team} start nothing", 0)
        if backlog.slots:
            self.last_served_at[service] = now
            return None
        since = self.last_served_at.setdefault(service, now)
        if now - since < UPSTREAM_ABSENCE_GRACE_SECONDS:
            return None
        detail = f"no upstream of {service} is announced right now"
        return Refusal(detail, UPSTREAM_ABSENCE_GRACE_SECONDS)

    def _evaluate_single(
        self, submission: Submission, backlog: Backlog, now: float
    ) -> Refusal | None:
        team, service = submission.team, submission.service
        run_seconds = self.estimates.mean_seconds(service)
        left = submission.deadline - now
        quota_wait = self.quotas.wait_seconds(team, run_seconds)
        if quota_wait > min(MAX_QUOTA_WAIT_SECONDS, left):
            return Refusal(f"team {team} is over its quota", max(quota_wait, 1.0))
        wait = self.wait_seconds(team, submission.weight, backlog, run_seconds)
        limit = left - self._expected_run_seconds(service)
        if self._is_standing(backlog, now):
            limit = min(limit, MAX_STANDING_QUEUE_WAIT_SECONDS)
        if wait <= max(limit, 0.0):
            return None
        rate = self._tasks_per_second(backlog, run_seconds)
        return self._refuse_with_retry(service, wait, rate, now)

    def _evaluate_job(
        self, submission: Submission, backlog: Backlog, now: float
    ) -> Refusal | None:
        team, service = submission.team, submission.service
        tasks = len(submission.tasks)
        left = submission.deadline - now
        quota = self.quotas.of(team).max_starts_per_second
        if tasks / quota > left:
            detail = f"{tasks} tasks can't start in {left:.0f} s under the team's quota"
            return Refusal(detail, 0)
        if not self.estimates.of(service).is_measured:
            return None
        run_seconds = self.estimates.mean_seconds(service)
        run_all_seconds = tasks * run_seconds / max(1, backlog.slots)
        if run_all_seconds > left:
            detail = f"{tasks} tasks of {run_seconds:.2f} s can't end in {left:.0f} s"
            return Refusal(detail, 0)
        rate = self._tasks_per_second(backlog, run_seconds)
        wait = self._job_wait_seconds(submission, backlog, rate)
        if wait + run_all_seconds <= left:
            return None
        return self._refuse_with_retry(
            service, wait + run_all_seconds - left, rate, now
        )

    def _job_wait_seconds(
        self, submission: Submission, backlog: Backlog, rate: float
    ) -> float:
        waiting = backlog.queue.jobs.nonempty
        own = waiting.get(submission.team)
        others = sum(t.weight for t in waiting.values() if t.name != submission.team)
        share = submission.weight / (submission.weight + others)
        ahead = own.size if own else 0
        return min(ahead / (rate * share), backlog.queue.jobs.size / rate)

    def _refuse_with_retry(
        self, service: str, seconds: float, rate: float, now: float
    ) -> Refusal:
        """Return a refusal that advises a retry once there should be capacity.

        Retry times of successive callers are spaced out, so that they don't all
        return at once.
        """
        retry_at = max(self.next_retry_at.get(service, 0.0), now + seconds)
        retry_at = min(
            retry_at + 1 / (rate * RETRY_CAPACITY_SHARE), now + MAX_RETRY_AFTER_SECONDS
        )
        self.next_retry_at[service] = retry_at
        retry_after = max(MIN_RETRY_AFTER_SECONDS, retry_at - now)
        return Refusal(f"the queue of {service} is too long now", retry_after)

    def _tasks_per_second(self, backlog: Backlog, run_seconds: float) -> float:
        """Return this entry's estimated throughput, in tasks a second."""
        share = backlog.slots / (2 * max(1, self.quotas.entries()))
        return max(backlog.in_flight, share, 1.0) / max(run_seconds, 1e-3)

    def _expected_run_seconds(self, service: str) -> float:
        estimate = self.estimates.of(service)
        return estimate.mean_seconds if estimate.is_measured else 0.0

    def _is_standing(self, backlog: Backlog, now: float) -> bool:
        since = backlog.nonempty_since
        return since is not None and now - since >= STANDING_QUEUE_SECONDS
