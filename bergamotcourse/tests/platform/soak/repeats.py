"""Checks of what entries must know of jobs that were answered or cancelled."""

from collections import defaultdict
from collections.abc import Iterator

from bergamotcourse.standins.order_upstream import Run
from bergamotcourse.state.job_spec import job_id_of_task
from bergamotcourse.tests.platform.soak.records import (
    ANSWERED_OUTCOMES,
    LEFT_OUTCOMES,
    Attempt,
    CallerOutcome,
    Cancellation,
    Records,
)

TELLING_SECONDS = 1.0
"""Time after an answer from which on the other entries know it."""

JOINING_SECONDS = 3.0
"""Time after a pause or a start until an entry is linked to the others."""

MAX_CANCELLATION_SECONDS = 3.0
"""Longest time from the answer to a cancellation until its job starts nothing, and
nothing of it runs."""

SENDING_SECONDS = 0.1
"""Time after which an entry has read the request of an undisturbed connection."""

UNANSWERED_OUTCOMES = (CallerOutcome.NOT_SENT, *LEFT_OUTCOMES)


def must_know(
    records: Records, entry: str, origin: str, told: tuple[float, float], until: float
) -> bool:
    """Return whether an entry must know something of a job at the time ``until``.

    A process does not know what was told before it began. Another entry than the one
    that tells it may miss it too if one of the two is paused, begins or ends then.

    Args:
        records: What the soak recorded.
        entry: The entry.
        origin: The entry that has answered a caller.
        told: When the others are told of it.
        until: When the entry is asked, or acts.
    """
    begun_at, ended_at = told
    for one in records.absences:
        if one.entry == entry and one.replaced and begun_at <= one.ended_at <= until:
            return False
        if (
            entry != origin
            and one.entry in (entry, origin)
            and one.begun_at <= ended_at
            and begun_at <= one.ended_at + JOINING_SECONDS
        ):
            return False
    return True


def later_calls(records: Records) -> Iterator[tuple[Attempt, list[Attempt]]]:
    """Yield each attempt with the earlier answers that its entry must know."""
    by_job = defaultdict(list)
    for one in records.attempts:
        by_job[one.job].append(one)
    for calls in by_job.values():
        answers = [one for one in calls if one.outcome in ANSWERED_OUTCOMES]
        for call in calls:
            known = [
                one
                for one in answers
                if one.ended_at + TELLING_SECONDS <= call.sent_at
                and must_know(
                    records,
                    call.entry,
                    one.entry,
                    (one.ended_at, one.ended_at + TELLING_SECONDS),
                    call.ended_at,
                )
            ]
            if known:
                yield call, known


def find_forgotten_answers(records: Records) -> list[str]:
    """Return the answers that contradict an earlier one for the same job.

    An entry that learnt of several states may give each of them.
    """
    return [
        f"answered {call.outcome.value} ({call.status}) at {call.entry} "
        f"{call.sent_at - known[0].ended_at:.3f} s after {known[0].outcome.value} at "
        f"{known[0].entry}: {call.job}"
        for call, known in later_calls(records)
        if call.outcome not in UNANSWERED_OUTCOMES
        and call.outcome not in [one.outcome for one in known]
    ]


def find_repeated_starts(records: Records, history: list[Run]) -> list[str]:
    """Return the runs that start as a job comes again after its answer."""
    runs = runs_by_job(history)
    return [
        f"started again {run.started_at - known[0].ended_at:.3f} s after "
        f"{known[0].outcome.value}, submitted to {call.entry}: {run.key.task}"
        for call, known in later_calls(records)
        for run in runs[call.job]
        if call.sent_at <= run.started_at <= call.ended_at
    ]


def find_cancelled_work(records: Records, history: list[Run]) -> list[str]:
    """Return the runs that start, or run on, too long after their job's cancellation.

    An answer that no such job exists counts as well if the job was running.
    """
    runs = runs_by_job(history)
    lines = []
    for one in records.cancellations:
        if not is_acknowledged(records, one, runs[one.job]):
            continue
        bound = one.ended_at + MAX_CANCELLATION_SECONDS
        for run in runs[one.job]:
            if is_over(run, bound):
                continue
            at = max(run.started_at, bound)
            if knows_of_cancellation(records, one, at):
                verb = "started" if run.started_at > bound else "ran on"
                lines.append(
                    f"{verb} {at - one.ended_at:.3f} s after its job was cancelled at "
                    f"{one.entry}: {run.key.task}"
                )
    return lines


def find_cancelled_successes(records: Records, history: list[Run]) -> list[str]:
    """Return the successes told to calls that waited when their job was cancelled.

    A call that is told within the time that a cancellation takes may have been done
    before. An answer that a connection holds back comes later.
    """
    runs = runs_by_job(history)
    return [
        f"answered succeeded {call.ended_at - one.ended_at:.3f} s after its job was "
        f"cancelled at {one.entry}: {call.job} at {call.entry}"
        for one in records.cancellations
        if is_acknowledged(records, one, runs[one.job])
        for call in waiting_calls(records, one)
        if call.outcome is CallerOutcome.SUCCEEDED
        and call.ended_at > one.ended_at + MAX_CANCELLATION_SECONDS
        and not holds_bytes(records, call)
        and knows_of_cancellation(records, one, call.ended_at)
    ]


def is_acknowledged(
    records: Records, cancellation: Cancellation, runs: list[Run]
) -> bool:
    """Return whether a cancellation was acknowledged for a job that was there.

    An answer that no such job exists is right before the job's request has come, and
    after the job's end.
    """
    if cancellation.acknowledged or not cancellation.gone:
        return cancellation.acknowledged
    is_running = any(
        run.started_at < cancellation.sent_at
        and not is_over(run, cancellation.ended_at)
        for run in runs
    )
    return is_running or any(
        not holds_bytes(records, call) for call in waiting_calls(records, cancellation)
    )


def waiting_calls(records: Records, cancellation: Cancellation) -> list[Attempt]:
    """Return the calls that waited for a job while it was cancelled."""
    return [
        one
        for one in records.attempts
        if one.job == cancellation.job
        and one.sent_at + SENDING_SECONDS <= cancellation.sent_at
        and cancellation.ended_at <= one.ended_at
    ]


def holds_bytes(records: Records, call: Attempt) -> bool:
    """Return whether a fault may have held back the bytes of a call."""
    return any(
        one.holds_bytes
        and one.entry == call.entry
        and one.begun_at <= call.ended_at
        and call.sent_at <= one.ended_at
        for one in records.disruptions
    )


def is_over(run: Run, at: float) -> bool:
    """Return whether a run had ended at a time."""
    return run.ended_at is not None and run.ended_at <= at


def knows_of_cancellation(
    records: Records, cancellation: Cancellation, until: float
) -> bool:
    """Return whether all entries that had the job must know of its cancellation."""
    told = (cancellation.sent_at, cancellation.ended_at + TELLING_SECONDS)
    return all(
        must_know(records, one.entry, cancellation.entry, told, until)
        for one in records.attempts
        if one.job == cancellation.job and one.sent_at <= until
    )


def runs_by_job(history: list[Run]) -> dict[str, list[Run]]:
    """Return the runs of each job."""
    runs = defaultdict(list)
    for run in history:
        runs[job_id_of_task(run.key.task)].append(run)
    return runs
