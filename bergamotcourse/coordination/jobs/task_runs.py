"""State of a run at an agent."""

from dataclasses import dataclass
from enum import Enum

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import PlaceTask
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NO_RESOURCES, Resources


class RunState(Enum):
    """State of a placed run that has no outcome yet."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    LAPSING = "lapsing"
    """Another upstream has replaced the one on which it may still be running. It has
    certainly ended once the lease there has lapsed."""


@dataclass
class PlacedRun:
    """A run that an entry placed at this agent, or that is to be barred.

    Attributes:
        key: The task and the number of the run.
        entry: The entry that placed it and receives its outcome.
        order: The placement; ``None`` for a run that this process never started.
        placed_at: When the placement arrived.
        started_at: When the upstream confirmed the start; 0 before.
        start_confirmed_hold: Number of holds begun by then; -1 before.
        stop_requested: The run must end, whatever else happens.
        is_withdrawn: Its entry has withdrawn it or is lost, so its task may start
            elsewhere before the end of this run is known.
        is_moving: It is stopped because it would finish sooner elsewhere.
        unanswered_stops: Number of stop orders without an answer.
        stop_confirmed_hold: Number of holds begun when the upstream confirmed the stop;
            -1 before.
        progress: Share of the work that was done at ``progress_at``.
        progress_at: When progress last increased, or the start before any progress.
    """

    key: RunKey
    entry: LinkAddress
    order: PlaceTask | None
    placed_at: float
    state: RunState = RunState.QUEUED
    started_at: float = 0.0
    start_confirmed_hold: int = -1
    stop_requested: bool = False
    is_withdrawn: bool = False
    is_moving: bool = False
    unanswered_stops: int = 0
    stop_confirmed_hold: int = -1
    progress: float = 0.0
    progress_at: float = 0.0

    @property
    def needs(self) -> Resources:
        """Return the resources that the run needs at the present upstream."""
        if self.order is None or self.state is RunState.LAPSING:
            return NO_RESOURCES
        return self.order.needs

    @property
    def occupies_room(self) -> bool:
        """Return whether it occupies room at the present upstream."""
        return self.state not in (RunState.QUEUED, RunState.LAPSING)

    @property
    def is_stop_confirmed(self) -> bool:
        """Return whether the upstream has confirmed a stop of the run."""
        return self.stop_confirmed_hold >= 0

    @property
    def is_withdrawal_unanswered(self) -> bool:
        """Return whether it is withdrawn and its stop orders had no answer so far."""
        is_unanswered = self.unanswered_stops > 0 and not self.is_stop_confirmed
        return self.is_withdrawn and is_unanswered

    def rank(self) -> tuple[float, float]:
        """Return the sort key in the queue; the lowest starts first."""
        return (self.placed_at + self.order.slack_ms / 1000, self.placed_at)
