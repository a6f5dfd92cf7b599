"""Capacity that an agent offers, reduced while its upstream is on trial."""

from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.state.resources import Resources

TRIAL_CAPACITY = Resources(8000, 4096, 0)
"""Capacity offered for one trial task; a larger task needs an upstream not on trial."""


def offered_capacity(executor: Executor, committed: Resources, now: float) -> Resources:
    """Return the capacity that the agent offers to entries.

    An upstream on trial offers no room beyond the runs already placed, except for one
    task when a trial is due.

    Args:
        executor: The executor of the upstream.
        committed: Needs of all placed runs.
        now: The time.
    """
    capacity = executor.capacity()
    health = executor.health
    if not health.on_trial():
        return capacity
    if executor.registry.runs or now < health.trial_at:
        return committed
    return TRIAL_CAPACITY if TRIAL_CAPACITY.fits(capacity) else capacity
