"""What an agent offers: all of its upstream, or one task at a time on trial."""

from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.state.resources import Resources

TRIAL_NEEDS = Resources(8000, 4096, 0)
"""Room for one task on trial; a larger one waits for an upstream in good standing."""


def offered_capacity(executor: Executor, committed: Resources, now: float) -> Resources:
    """Return the capacity that entries may count on.

    An upstream on trial offers no room beyond what is placed, but for one task when a
    trial is due.
    """
    capacity = executor.capacity()
    health = executor.health
    if not health.on_trial():
        return capacity
    if executor.book.runs or now < health.trial_at:
        return committed
    return TRIAL_NEEDS if TRIAL_NEEDS.fits(capacity) else capacity
