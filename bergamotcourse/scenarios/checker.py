"""Checks the invariants over the records of the upstreams and callers."""

from dataclasses import dataclass

import msgspec

from bergamotcourse.protocol.job_body import AnswerBody
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.scenarios.callers import GONE, Copy, Submission

DONE = Outcome.DONE.value
FAILED = Outcome.FAILED.value
NOT_RUN = Outcome.NOT_RUN.value


@dataclass(frozen=True)
class RecordedStart:
    """The start of a task, as recorded by its upstream."""

    task: str
    at: float
    agent: str


@dataclass(frozen=True)
class ReportedTaskOutcome:
    """The outcome that the answer to a copy reports for one task."""

    task: str
    outcome: str


class Checker:
    """Checks the answers of all submissions against all recorded starts."""

    def __init__(self, submissions: list[Submission], starts: list[RecordedStart]):
        self.submissions = submissions
        self.starts: dict[str, list[RecordedStart]] = {}
        for start in starts:
            self.starts.setdefault(start.task, []).append(start)

    def find_violations(self, at_end: bool) -> list[str]:
        """Return all violated invariants, one line each.

        Args:
            at_end: Whether copies without an answer count as violations.
        """
        violations: list[str] = []
        for submission in self.submissions:
            violations += self._find_duplicate_starts(submission)
            violations += self._find_differing_answers(submission)
            for copy in submission.copies:
                if copy.answered_at is None:
                    if at_end:
                        violations.append(f"{copy.label}: no answer")
                    continue
                violations += self._find_wrong_outcomes(submission, copy)
                violations += self._find_wrong_content(submission, copy)
        return violations

    def start_times(self, task: str) -> list[float]:
        """Return the times at which a task was started."""
        return [start.at for start in self.starts.get(task, [])]

    def _find_duplicate_starts(self, submission: Submission) -> list[str]:
        if submission.repeatable:
            return []
        return [
            f"{task}: doubled, started at {_format_starts(self.starts[task])}"
            for task in submission.tasks
            if len(self.start_times(task)) > 1
        ]

    def _find_wrong_outcomes(self, submission: Submission, copy: Copy) -> list[str]:
        violations = []
        for reported in _reported_outcomes(submission, copy):
            times = [t for t in self.start_times(reported.task) if t <= copy.decided_at]
            if reported.outcome in (DONE, FAILED) and not times:
                violations.append(
                    f"{copy.label}: {reported.task} {reported.outcome}, never started"
                )
            if reported.outcome == NOT_RUN:
                violations += self._find_starts_despite_not_run(
                    submission, copy, reported.task
                )
        return violations

    def _find_starts_despite_not_run(
        self, submission: Submission, copy: Copy, task: str
    ) -> list[str]:
        """Return the starts that contradict the outcome not_run of a task.

        A start after the answer belongs to another copy, if one was open at the answer
        or was submitted later.
        """
        others = [
            other
            for other in submission.copies
            if other is not copy and _is_open_after(other, copy.decided_at)
        ]
        return [
            f"{copy.label}: reported not_run, but {task} started at {time:.3f}, answer"
            f" at {copy.decided_at:.3f}"
            for time in self.start_times(task)
            if time <= copy.decided_at or not others
        ]

    def _find_wrong_content(self, submission: Submission, copy: Copy) -> list[str]:
        """Report an answer whose content does not belong to its own request."""
        if copy.outcome != DONE:
            return []
        if not submission.command.tasks:
            matches = copy.body.decode().endswith(f" {submission.name}")
            return (
                []
                if matches
                else [f"{copy.label}: answer of another request {copy.body!r}"]
            )
        return (
            []
            if has_all_results(submission, copy)
            else [f"{copy.label}: results missing or out of order"]
        )

    def _find_differing_answers(self, submission: Submission) -> list[str]:
        done = [copy for copy in submission.copies if copy.outcome == DONE]
        return [
            f"{copy.label}: answer differs from that of {done[0].label}"
            for copy in done[1:]
            if copy.body != done[0].body and not submission.repeatable
        ]


def has_all_results(submission: Submission, copy: Copy) -> bool:
    """Return whether a job's answer holds the result of each task, in order."""
    if copy.outcome != DONE:
        return False
    answer = msgspec.json.decode(copy.body, type=AnswerBody)
    bodies = [(result.body or "").rpartition(" ")[2] for result in answer.results]
    return bodies == submission.tasks


def _is_open_after(copy: Copy, time: float) -> bool:
    return copy.outcome == GONE or copy.decided_at is None or copy.decided_at > time


def _reported_outcomes(submission: Submission, copy: Copy) -> list[ReportedTaskOutcome]:
    if copy.decided_at is None or copy.outcome == "refused":
        return []
    problem = copy.problem()
    if problem is not None and problem.tasks:
        return [
            ReportedTaskOutcome(submission.tasks[result.index], result.outcome.value)
            for result in problem.tasks
        ]
    return [ReportedTaskOutcome(task, copy.outcome) for task in submission.tasks]


def _format_starts(starts: list[RecordedStart]) -> str:
    return ", ".join(f"{start.at:.3f} at {start.agent}" for start in starts)
