"""The runs at one agent: waiting for room, starting, running, stopping."""

from dataclasses import dataclass
from enum import Enum

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import PlaceTask
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.resources import NOTHING, Resources


class RunState(Enum):
    """Where a placed run stands."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class PlacedRun:
    """A run that an entry placed here, or that is to be barred.

    Attributes:
        entry: Who placed it, and is told its outcome.
        order: The placement; ``None`` for a run this process never started.
        placed_at: When it came.
        started_at: When the upstream confirmed its start; 0 before.
        confirmed: Number of holds begun by then; -1 before.
        asked_start: An order to start has left, so it may run.
        stop_wanted: It must end, whatever else happens.
        moves: It is stopped because it would be done sooner elsewhere.
        barred: Number of holds begun when the upstream confirmed the stop; -1 before.
        progress: Share of the work that was done at ``progress_at``.
    """

    key: RunKey
    entry: LinkAddress
    order: PlaceTask | None
    placed_at: float
    state: RunState = RunState.QUEUED
    started_at: float = 0.0
    confirmed: int = -1
    asked_start: bool = False
    stop_wanted: bool = False
    moves: bool = False
    barred: int = -1
    progress: float = 0.0
    progress_at: float = 0.0

    @property
    def needs(self) -> Resources:
        """Return the resources that it takes or waits for."""
        return self.order.needs if self.order else NOTHING

    @property
    def occupies(self) -> bool:
        """Return whether it takes room at the upstream."""
        return self.state is not RunState.QUEUED

    def rank(self) -> tuple[float, float]:
        """Return the order among those that wait: the least goes first."""
        return (self.placed_at + self.order.rank / 1000, self.placed_at)
