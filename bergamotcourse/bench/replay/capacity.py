"""The capacity of a load's upstreams over time, as its events leave it.

Times are in seconds of the counted time. Where the order of events at one moment is
open, or what they do depends on the dispatcher, the greater capacity is returned.
"""

import math
from dataclasses import dataclass

from bergamotcourse.bench.replay.load_file import (
    AllLost,
    EntryLost,
    Failing,
    Leaving,
    Load,
    Slow,
    Stalled,
    Unanswered,
    UpstreamEvent,
    UpstreamLost,
)
from bergamotcourse.bench.replay.run import task_needs, upstream_slowness
from bergamotcourse.standins.order_upstream import MOST_LEASE_SECONDS, TICK_SECONDS
from bergamotcourse.virtual.job_fleet import CAPACITY

SAME_TIME_SECONDS = 1e-6
"""Events closer than this count as simultaneous: sums of their times are rounded."""


@dataclass(frozen=True)
class Stretch:
    """A time from ``begins`` to ``ends`` during which an upstream has one speed."""

    begins: float
    ends: float
    speed: float


@dataclass(frozen=True)
class Life:
    """One life of an upstream.

    Attributes:
        slots: Number of tasks that it runs concurrently.
        stretches: Disjoint stretches; outside of them it runs nothing.
    """

    slots: int
    stretches: tuple[Stretch, ...]

    def work(self, begins: float, ends: float) -> float:
        """Return the seconds of nominal work that a run can do between two times."""
        return sum(
            max(0.0, min(ends, one.ends) - max(begins, one.begins)) * one.speed
            for one in self.stretches
        )


@dataclass(frozen=True)
class Window:
    """A stretch of changed speed.

    Attributes:
        is_uncertain: Whether it may belong to another life of the upstream.
    """

    stretch: Stretch
    is_uncertain: bool


@dataclass(frozen=True)
class Outage:
    """A time from ``begins`` to ``ends`` during which no entry answers a call."""

    begins: float
    ends: float


@dataclass(frozen=True)
class Capacity:
    """The lives of all upstreams of a load, and the outages of all its entries."""

    lives: tuple[Life, ...]
    outages: tuple[Outage, ...] = ()

    def work(self, begins: float, ends: float) -> float:
        """Return the seconds of nominal work that fit between two times."""
        return sum(
            life.slots * life.work(begins - TICK_SECONDS, ends) for life in self.lives
        )

    def longest_run(self, begins: float, ends: float) -> float:
        """Return the seconds of nominal work that one run can do between two times."""
        return max(life.work(begins - TICK_SECONDS, ends) for life in self.lives)


def capacity_of(load: Load) -> Capacity:
    """Return the capacity of a load."""
    slots = slots_of_upstream(load)
    lives = []
    for index in range(load.agents):
        speed = 1 / upstream_slowness(load, index)
        events = [
            event
            for event in load.events
            if isinstance(event, UpstreamEvent) and index < event.upstreams
        ]
        lives += [Life(slots, tuple(one)) for one in lives_of(speed, events, load)]
    return Capacity(tuple(lives), tuple(outages_of(load, (AllLost, EntryLost))))


def slots_of_upstream(load: Load) -> int:
    """Return the number of a load's tasks that fit an upstream."""
    needs = task_needs(load)
    by_memory = CAPACITY.memory // needs.memory
    return min(by_memory, CAPACITY.cpu // needs.cpu) if needs.cpu else by_memory


def lives_of(
    speed: float, events: list[UpstreamEvent], load: Load
) -> list[list[Stretch]]:
    """Return the stretches of each life of one upstream.

    A task that crashes its upstream has it started anew at its own speed, at times that
    the dispatcher decides. So with such tasks no event counts that ends a life early or
    makes one slower.

    Args:
        speed: The upstream's speed without events.
        events: The events that affect it.
        load: The load.
    """
    crashing = any(kind.crashing for kind in load.kinds)
    times = life_times(events, crashing)
    lives = []
    for (begins, ends), (replaced, _) in zip(
        times, [*times[1:], (math.inf, math.inf)], strict=True
    ):
        windows = [
            Window(
                Stretch(event.at, event.at + event.seconds, changed),
                crashing or is_near(event.at, begins) or is_near(event.at, replaced),
            )
            for event in events
            if (changed := changed_speed(event)) is not None
            and (begins <= event.at <= replaced or is_near(event.at, begins))
        ]
        stretches = [Stretch(begins, ends, speed)]
        for changed in separate_stretches(windows, speed):
            stretches = overlay(stretches, changed)
        # Runs last longer than their agents, by the lease. Orders that an upstream
        # carries out late renew it.
        if not any(isinstance(event, Unanswered) for event in load.events):
            for outage in outages_of(load, (AllLost,)):
                lapsed = outage.begins + MOST_LEASE_SECONDS
                idle = Stretch(lapsed, outage.ends - TICK_SECONDS, 0.0)
                stretches = overlay(stretches, idle)
        lives.append(stretches)
    return lives


def life_times(
    events: list[UpstreamEvent], crashing: bool
) -> list[tuple[float, float]]:
    """Return when each life of an upstream begins and ends.

    Each loss ends the last life that has begun, and later begins another; so after
    losses that overlap, two lives run side by side.
    """
    changes = []
    for event in events:
        match event:
            case UpstreamLost(at=lost, seconds=seconds):
                changes += [(lost, False), (lost + seconds, True)]
            case Leaving(at=at, notice=notice, seconds=seconds):
                changes += [(at + notice, False), (at + notice + seconds, True)]
    lives = [(-math.inf, math.inf)]
    for at, is_start in sorted(changes):
        if is_start:
            lives.append((at, math.inf))
        elif not crashing:
            begins, ends = lives[-1]
            lives[-1] = (begins, min(at, ends))
    return lives


def changed_speed(event: UpstreamEvent) -> float | None:
    """Return the speed that an event gives upstreams, or ``None`` if it gives none."""
    match event:
        case Slow(factor=factor):
            return 1 / factor
        case Stalled():
            return 0.0
        case Failing() | Unanswered():
            return 1.0
    return None


def is_near(at: float, other: float) -> bool:
    """Return whether two times count as simultaneous."""
    return abs(at - other) <= SAME_TIME_SECONDS


def separate_stretches(windows: list[Window], speed: float) -> list[Stretch]:
    """Return the stretches of changed speed in one life.

    An event restores the speed that it found. If windows overlap, their order decides
    what is left in the end; the greatest speed then counts from the first of them on.

    Args:
        windows: The windows that may belong to the life.
        speed: The upstream's speed without them.
    """
    windows = sorted(windows, key=lambda one: one.stretch.begins)
    stretches = []
    for index, window in enumerate(windows):
        one = window.stretch
        later = [after.stretch for after in windows[index + 1 :]]
        overlapped = later and later[0].begins <= one.ends + SAME_TIME_SECONDS
        begins = one.begins - TICK_SECONDS
        if overlapped or (window.is_uncertain and one.speed > speed):
            fastest = max([speed, one.speed, *(after.speed for after in later)])
            return [*stretches, Stretch(begins, math.inf, fastest)]
        # The whole tick in which the speed changes is credited at the later speed.
        if one.speed > speed:
            stretches.append(Stretch(begins, one.ends, one.speed))
        elif not window.is_uncertain:
            ends = one.ends - TICK_SECONDS
            stretches.append(Stretch(one.begins, ends, one.speed))
    return stretches


def overlay(stretches: list[Stretch], window: Stretch) -> list[Stretch]:
    """Return stretches with the speed of a window in its time."""
    parts = []
    for one in stretches:
        middle = max(one.begins, window.begins), min(one.ends, window.ends)
        parts += [
            Stretch(one.begins, min(one.ends, window.begins), one.speed),
            Stretch(*middle, window.speed),
            Stretch(max(one.begins, window.ends), one.ends, one.speed),
        ]
    return [part for part in parts if part.begins < part.ends]


def outages_of(load: Load, kinds: tuple[type, ...]) -> list[Outage]:
    """Return the times from each ``all-lost`` to the first restart of a process.

    Args:
        load: The load.
        kinds: The events that restart such processes when they end.
    """
    ends = [event.at + event.seconds for event in load.events if type(event) in kinds]
    return [
        Outage(event.at, min(end for end in ends if end > event.at))
        for event in load.events
        if isinstance(event, AllLost)
    ]
