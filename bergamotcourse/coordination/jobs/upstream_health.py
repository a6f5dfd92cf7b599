"""Whether an upstream fails or delays what it starts, told from its ends.

Load it answers: an upstream that fails all its tasks at once ends them sooner than
others, looks free, and draws ever more of them. One bad end says nothing, as tasks
fail by their own fault too; so several in a row are needed, and a trial brings the
upstream back.
"""

from dataclasses import dataclass

from bergamotcourse.coordination.jobs.task_runs import PlacedRun
from bergamotcourse.protocol.upstream_orders import EndKind

FAILURES_TO_EJECT = 3
"""In a row. Where 1 task in 500 fails by its own fault, three in a row by chance come
once in 10^8 runs; of a job that can never be done, several tasks may fail here."""

TRIAL_SECONDS = 1.0
"""Ejected upstreams get one task each so long, until one ends well."""

SPEED_WEIGHT = 0.2
"""Of a new measurement in the average: ten ends forget an old speed."""

LEAST_SLOWNESS = 0.3
MOST_SLOWNESS = 20.0


@dataclass
class UpstreamHealth:
    """What the ends of one life of an upstream tell.

    Attributes:
        failures: Failed runs in a row.
        slowness: Average of the time taken over the time declared.
        trial_at: When an ejected upstream may get its next task.
    """

    failures: int = 0
    slowness: float = 1.0
    trial_at: float = 0.0

    def ended(self, kind: EndKind, run: PlacedRun, ran: float, now: float) -> None:
        """Take the end of a run."""
        match kind:
            case EndKind.DONE:
                self.failures = 0
                self._learn(run, ran)
            case EndKind.FAILED:
                self.failures += 1
                self.trial_at = now + TRIAL_SECONDS
            case _:
                pass

    def refused(self, now: float) -> None:
        """Take the refusal of an order by an upstream that says it is unhealthy."""
        self.failures += 1
        self.trial_at = now + TRIAL_SECONDS

    def is_failing(self) -> bool:
        """Return whether it is ejected, but for trials."""
        return self.failures >= FAILURES_TO_EJECT

    def _learn(self, run: PlacedRun, ran: float) -> None:
        if run.order is None or run.order.estimate <= 0 or ran <= 0:
            return
        ratio = min(max(ran / run.order.estimate, LEAST_SLOWNESS), MOST_SLOWNESS)
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness)
