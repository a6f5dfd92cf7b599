"""The jobs that a replay offered, with the work of all their tasks."""

import random
from dataclasses import dataclass

from bergamotcourse.bench.replay.load_file import Load
from bergamotcourse.bench.replay.run import draw_work_errors, make_queue
from bergamotcourse.bench.replay.tally import Call, ReplayOutcome
from bergamotcourse.state.job_spec import JobId, JobQueue, TaskName


@dataclass(frozen=True)
class OfferedJob:
    """A counted job, as a dispatcher that knows all run times sees it.

    Attributes:
        arrived: Time of the first call, in seconds of the counted time.
        objective: Latency objective, in seconds.
        works: For each task, its run time at nominal speed, in seconds.
        worth: Value of the job if it meets its objective, in the unit of the load file.
    """

    arrived: float
    objective: float
    works: tuple[float, ...]
    worth: float


@dataclass(frozen=True)
class KindOfWork:
    """What the jobs of a kind have in common.

    Attributes:
        median_work: Median run time of a task at nominal speed, in seconds.
        worth: Value of a job that meets its objective, in the unit of the load file.
    """

    queue: JobQueue
    median_work: float
    worth: float


def offered_jobs(load: Load, outcome: ReplayOutcome, seed: int) -> list[OfferedJob]:
    """Return the counted jobs of a replay.

    A run's work is drawn when it starts. If several runs of a task drew different work,
    the task counts with the least, and the objective is computed from the greatest.
    Tasks that never ran draw their work here, from generators of their own, so that the
    replay's draws are unchanged.
    """
    errors = draw_work_errors(load, random.Random(seed))
    kinds = {
        kind.name: KindOfWork(
            make_queue(kind), kind.work * errors[kind.name], kind.worth
        )
        for kind in load.kinds
    }
    jobs = []
    for call in outcome.calls:
        kind = kinds[call.kind]
        works = works_of(call, outcome, kind, load.spread, seed)
        jobs.append(
            OfferedJob(
                call.at - outcome.counted_from,
                kind.queue.objective(max(map(max, works))),
                tuple(map(min, works)),
                kind.worth,
            )
        )
    return jobs


def works_of(
    call: Call, outcome: ReplayOutcome, kind: KindOfWork, spread: float, seed: int
) -> list[list[float]]:
    """Return for each task of a job the work that its runs drew, or would draw."""
    rng = random.Random(f"{seed} {call.job}")
    works = []
    for index in range(call.tasks):
        drawn = kind.median_work * rng.lognormvariate(0, spread)
        works.append(outcome.works.get(task_name(call.job, index)) or [drawn])
    return works


def task_name(job: JobId, index: int) -> TaskName:
    """Return the name of a task in the first step of a job."""
    return TaskName(f"{job}.0.0.{index}")
