"""Checks whether guarantees were kept, by the records of callers and workers."""

import math
import signal
from collections import Counter, defaultdict
from collections.abc import Iterable

from bergamotcourse.protocol.upstream_orders import EndKind
from bergamotcourse.standins.order_upstream import Run, overlaps
from bergamotcourse.state.job_spec import job_id_of_task
from bergamotcourse.tests.platform.cluster import MAX_TASK_ATTEMPTS, Node
from bergamotcourse.tests.platform.soak.records import (
    LEFT_OUTCOMES,
    Attempt,
    CallerOutcome,
    Disruption,
    Evacuation,
    Records,
    Throttle,
)
from bergamotcourse.tests.platform.soak.repeats import (
    find_cancelled_successes,
    find_cancelled_work,
    find_forgotten_answers,
    find_repeated_starts,
)

MAX_EVACUATION_DELAY_SECONDS = 5.0
"""Longest time from the evacuation of a zone until nothing starts in it."""

MAX_LEAVING_DELAY_SECONDS = 2.0
"""Longest time from the report that a worker leaves until nothing starts on it."""


MAX_ABANDONED_SECONDS = 1.0
"""Longest time from the end of a caller's connection until nothing starts for it, also
if its entry is killed. Shorter than the delay after which callers resubmit a job."""

OVERLOAD_RECOVERY_SECONDS = 3.0
"""Time after the end of a throttle until the entry serves callers again."""

OVERLOAD_JUDGED_SECONDS = 3.0
"""Time after that in which it is judged whether the entry serves callers."""

MIN_JUDGED_ATTEMPTS = 10
"""Fewest attempts that show an overload, and fewest successes elsewhere that show that
jobs could be served."""

BEGUN_CALL_EVENTS = ("job.taken", "job.joined", "job.ended_before")

ORDERED_EXIT_CODES = (0, -signal.SIGKILL, -signal.SIGTERM)


def find_violations(
    records: Records, history: list[Run], events: Iterable[dict] = ()
) -> list[str]:
    """Return one line for each violation of a guarantee.

    Args:
        records: What the soak recorded.
        history: All runs.
        events: What the entries have logged.
    """
    return [
        *find_overlaps(history),
        *find_false_refusals(records.attempts, history),
        *find_false_successes(records, history),
        *find_false_failures(records, history),
        *find_unreadable_answers(records.attempts),
        *find_cancelled_work(records, history),
        *find_cancelled_successes(records, history),
        *find_forgotten_answers(records),
        *find_repeated_starts(records, history),
        *find_unsubmitted_jobs(records, history),
        *find_abandoned_starts(records, history),
        *find_late_starts(history),
        *find_evacuated_starts(records, history),
        *find_misplaced_starts(records, history),
        *find_unexplained_failures(records, history, events),
        *find_unexpected_statuses(records.attempts),
        *find_lasting_overloads(records),
    ]


def find_overlaps(history: list[Run]) -> list[str]:
    """Return the runs of one task that overlap in time."""
    return [
        f"overlap: {one.key.task} ran on {one.upstream} from {one.started_at:.3f} to "
        f"{one.ended_at} and on {other.upstream} from {other.started_at:.3f}"
        for one, other in overlaps(history)
    ]


def find_false_refusals(attempts: list[Attempt], history: list[Run]) -> list[str]:
    """Return the jobs that ran although all their attempts were refused."""
    outcomes = defaultdict(set)
    for attempt in attempts:
        outcomes[attempt.job].add(attempt.outcome)
    ran = {job_id_of_task(run.key.task) for run in history}
    refused = {
        job for job, kinds in outcomes.items() if kinds <= {CallerOutcome.REFUSED}
    }
    return [f"refused, and ran: {job}" for job in sorted(refused & ran)]


def find_false_successes(records: Records, history: list[Run]) -> list[str]:
    """Return the jobs reported as succeeded of which not every task was done."""
    done = defaultdict(set)
    for run in history:
        if run.kind is EndKind.DONE:
            done[job_id_of_task(run.key.task)].add(run.key.task)
    return [
        f"succeeded with {len(done[one.job])} of {records.tasks[one.job]}: {one.job}"
        for one in records.attempts
        if one.outcome is CallerOutcome.SUCCEEDED
        and len(done[one.job]) < records.tasks[one.job]
    ]


def find_unreadable_answers(attempts: list[Attempt]) -> list[str]:
    """Return the answers of success that have no state which callers can read."""
    return [
        f"answered without a state: {one.job} at {one.entry}"
        for one in attempts
        if one.outcome is CallerOutcome.UNREADABLE
    ]


def find_crashes(nodes: Iterable[Node]) -> list[str]:
    """Return the processes that ended without a signal to do so."""
    lines = []
    for node in nodes:
        code = node.process.poll()
        codes = node.exit_codes if code is None else [*node.exit_codes, code]
        lines += [
            f"{node.name} ended by itself with {code}: {last_error(node)}"
            for code in codes
            if code not in ORDERED_EXIT_CODES
        ]
    return lines


def last_error(node: Node) -> str:
    """Return the last line of a traceback that a process has written."""
    errors = [line for line in node.log_lines() if "Error: " in line]
    return errors[-1].strip(" |")[:200] if errors else ""


def find_false_failures(records: Records, history: list[Run]) -> list[str]:
    """Return the jobs reported as failed before any task had used up its attempts.

    A job that a caller has asked to be cancelled may be reported as failed.
    """
    attempts = records.attempts
    cancelled_at: dict[str, float] = {}
    for cancellation in records.cancellations:
        job = cancellation.job
        first = cancelled_at.get(job, math.inf)
        cancelled_at[job] = min(first, cancellation.sent_at)
    failed = [run for run in history if run.kind is EndKind.FAILED]
    lines = []
    for one in attempts:
        if one.outcome is not CallerOutcome.FAILED:
            continue
        if cancelled_at.get(one.job, math.inf) <= one.ended_at:
            continue
        failures = Counter(
            run.key.task
            for run in failed
            if job_id_of_task(run.key.task) == one.job
            if run.ended_at <= one.ended_at
        )
        most = max(failures.values(), default=0)
        if most < MAX_TASK_ATTEMPTS:
            lines.append(
                f"failed after {most} of {MAX_TASK_ATTEMPTS} failed runs of a task: "
                f"{one.job} at {one.entry}"
            )
    return lines


def find_unsubmitted_jobs(records: Records, history: list[Run]) -> list[str]:
    """Return the jobs that ran although no caller submitted them."""
    ran = {job_id_of_task(run.key.task) for run in history}
    return [f"nobody asked for {job}" for job in sorted(ran - set(records.tasks))]


def find_abandoned_starts(records: Records, history: list[Run]) -> list[str]:
    """Return the runs that started although all callers of their job had left."""
    attempts = defaultdict(list)
    for one in records.attempts:
        attempts[one.job].append(one)
    lines = []
    for run in history:
        job = job_id_of_task(run.key.task)
        before = [one for one in attempts[job] if one.sent_at <= run.started_at]
        last = max(before, key=lambda one: one.ended_at, default=None)
        if last is None or last.outcome not in LEFT_OUTCOMES:
            continue
        late = run.started_at - last.ended_at
        if late > MAX_ABANDONED_SECONDS and not any(
            disruption.holds_bytes and may_explain_failure(disruption, last)
            for disruption in records.disruptions
        ):
            lines.append(f"started {late:.3f} s after its caller left: {run.key.task}")
    return lines


def find_late_starts(history: list[Run]) -> list[str]:
    """Return the starts on a leaving worker too long after its agent knew."""
    return [
        f"started {run.leaving_seconds:.3f} s after {run.upstream} was known to leave: "
        f"{run.key.task}"
        for run in history
        if run.leaving_seconds > MAX_LEAVING_DELAY_SECONDS
    ]


def find_evacuated_starts(records: Records, history: list[Run]) -> list[str]:
    """Return the starts in a zone too long after it was evacuated, before that ended.

    The time in which the store refused all calls is added to the allowed delay, as
    no process can learn of the evacuation then.
    """
    lines = []
    for one in records.evacuations:
        bound = MAX_EVACUATION_DELAY_SECONDS + outage_within(records, one)
        lines += [
            f"started {run.started_at - one.begun_at:.3f} s after {one.zone} was "
            f"evacuated: {run.key.task}"
            for run in history
            if run.zone == one.zone
            and one.begun_at + bound < run.started_at < one.ended_at
        ]
    return lines


def find_misplaced_starts(records: Records, history: list[Run]) -> list[str]:
    """Return the starts on a worker without the label that the job requires."""
    lines = []
    for run in history:
        label = records.labels.get(job_id_of_task(run.key.task), "")
        if label and label not in run.labels:
            lines.append(f"started on {run.upstream} without {label}: {run.key.task}")
    return lines


def outage_within(records: Records, evacuation: Evacuation) -> float:
    """Return for how long the store refused all calls during an evacuation."""
    overlaps = (
        min(outage.ended_at, evacuation.ended_at)
        - max(outage.begun_at, evacuation.begun_at)
        for outage in records.outages
    )
    return sum(max(0.0, seconds) for seconds in overlaps)


def find_false_returns(
    attempts: list[Attempt], history: list[Run], events: list[dict]
) -> list[str]:
    """Return the runs that an entry considered never started although they ran.

    Only jobs that were submitted once are checked: if a job is submitted again, two
    entries may assign the same numbers to its runs.
    """
    times = Counter(attempt.job for attempt in attempts)
    ran = {(run.key.task, run.key.number) for run in history}
    return [
        f"reported as {event['outcome']}, and ran: {event['task']} run {event['run']}"
        for event in events
        if event["event"] == "task.again"
        and event["outcome"] in ("returned", "stale")
        and times[event["request"]] == 1
        and (event["task"], event["run"]) in ran
    ]


def find_unexplained_failures(
    records: Records, history: list[Run], events: Iterable[dict]
) -> list[str]:
    """Return the attempts without a response or disruption whose job had started.

    An entry that stops as planned may close an idle connection while a request is in
    transit, but it answers each request that it has begun to serve.

    Args:
        records: What the soak recorded.
        history: All runs.
        events: What the entries have logged.
    """
    calls = Counter(
        (event["event"], event["node"], event["request"])
        for event in events
        if event["event"] in (*BEGUN_CALL_EVENTS, "job.answered")
    )
    started = defaultdict(list)
    for run in history:
        started[job_id_of_task(run.key.task)].append(run.started_at)
    return [
        f"{one.outcome.value}: {one.job} at {one.entry}, {one.sent_at:.3f} to "
        f"{one.ended_at:.3f}"
        for one in records.attempts
        if one.outcome in (CallerOutcome.CUT, CallerOutcome.NO_RESPONSE)
        and not any(
            may_explain_failure(disruption, one) for disruption in records.disruptions
        )
        and any(one.sent_at <= at <= one.ended_at for at in started[one.job])
        and may_be_begun(one, records, calls)
    ]


def may_be_begun(attempt: Attempt, records: Records, calls: Counter) -> bool:
    """Return whether an entry may have begun to serve an attempt whose job has started.

    With several calls for the job at once, its start shows only that one of them was
    begun. Then the entry must have begun more calls than it answered or callers left.

    Args:
        attempt: The attempt.
        records: What the soak recorded.
        calls: Number of events by kind, entry and job.
    """
    where = (attempt.entry, attempt.job)
    here = [one for one in records.attempts if (one.entry, one.job) == where]
    if not any(overlaps_in_time(attempt, one) for one in here if one is not attempt):
        return True
    begun = sum(calls[kind, *where] for kind in BEGUN_CALL_EVENTS)
    left = sum(one.outcome is CallerOutcome.LEFT for one in here)
    return begun > calls["job.answered", *where] + left


def overlaps_in_time(one: Attempt, other: Attempt) -> bool:
    """Return whether two attempts were in progress at the same time."""
    return one.sent_at <= other.ended_at and other.sent_at <= one.ended_at


def may_explain_failure(disruption: Disruption, attempt: Attempt) -> bool:
    """Return whether a disruption may explain that an attempt got no response."""
    return (
        disruption.entry == attempt.entry
        and disruption.begun_at <= attempt.ended_at
        and attempt.sent_at <= disruption.ended_at
    )


def find_unexpected_statuses(attempts: list[Attempt]) -> list[str]:
    """Return the responses that no caller of a known queue should get."""
    return [
        f"status {one.status}: {one.job} at {one.entry}"
        for one in attempts
        if one.outcome in (CallerOutcome.UNEXPECTED_STATUS, CallerOutcome.GONE)
    ]


def find_lasting_overloads(records: Records) -> list[str]:
    """Return the entries that served nothing after a throttle while others served."""
    lines = []
    for throttle in records.throttles:
        begins = throttle.ended_at + OVERLOAD_RECOVERY_SECONDS
        ends = begins + OVERLOAD_JUDGED_SECONDS
        if is_disrupted_otherwise(records, throttle, ends):
            continue
        judged = [one for one in records.attempts if begins <= one.sent_at < ends]
        own = [one for one in judged if one.entry == throttle.entry]
        served = Counter(
            one.entry for one in judged if one.outcome is CallerOutcome.SUCCEEDED
        )
        elsewhere = served.total() - served[throttle.entry]
        if (
            len(own) >= MIN_JUDGED_ATTEMPTS
            and not served[throttle.entry]
            and elsewhere >= MIN_JUDGED_ATTEMPTS
        ):
            lines.append(
                f"{throttle.entry} served none of {len(own)} attempts "
                f"{OVERLOAD_RECOVERY_SECONDS} s after a throttle, others {elsewhere}"
            )
    return lines


def is_disrupted_otherwise(records: Records, throttle: Throttle, until: float) -> bool:
    """Return whether another fault may affect the entry after a throttle."""
    return any(
        disruption.entry == throttle.entry
        and disruption.begun_at != throttle.begun_at
        and disruption.begun_at <= until
        and disruption.ended_at >= throttle.ended_at
        for disruption in records.disruptions
    )


def summarise(records: Records) -> dict[str, dict[str, int]]:
    """Return the counts of caller outcomes and of faults."""
    outcomes = Counter(one.outcome.value for one in records.attempts)
    return {"attempts": dict(outcomes), "faults": dict(sorted(records.faults.items()))}
