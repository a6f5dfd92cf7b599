"""An upper bound on the share of worth that any dispatcher can earn on a load.

``docs/design/bound.md`` has the proof. Times are in seconds of the counted time; work
is in seconds at nominal speed.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from bergamotcourse.bench.replay.capacity import Capacity, Outage
from bergamotcourse.bench.replay.offered import OfferedJob
from bergamotcourse.bench.replay.run import (
    CALLER_TIMEOUT_SECONDS,
    RESUBMIT_DELAY_SECONDS,
)
from bergamotcourse.bench.replay.tally import LATE_WORTH_SHARE
from bergamotcourse.coordination.jobs.job_run import LATE_FACTOR
from bergamotcourse.virtual.job_fleet import ANSWER_GRACE_SECONDS

GRID_SECONDS = 0.5
"""Distance of the times at which spans may begin and end. Any value gives a bound; the
time to compute it grows with the inverse square."""

LONGEST_SPAN_SECONDS = 16.0
"""Length of the longest span, which keeps the time to compute linear in that of the
load. Any value gives a bound."""

MOST_ROUNDS = 8
"""Number of times that the price of each span is set at most."""

LEAST_GAIN = 0.0005
"""Share of the worth by which a round lowers the bound at least to be followed by
another, half a unit of the last digit that is printed."""

HALVINGS = 30
"""Number of times that the range of a price is halved to find the best one."""

LONGEST_CALL_SECONDS = CALLER_TIMEOUT_SECONDS + ANSWER_GRACE_SECONDS
"""Time after which no caller takes an answer."""

ROUNDING_SECONDS = 1e-9
"""Larger than the rounding error of any time of a replay."""


@dataclass(frozen=True)
class Option:
    """A way for a job to earn something: that all its tasks run within a window.

    Attributes:
        release: Time before which none of the tasks can start.
        due: Time by which all tasks must end.
        works: Work of each task.
        worth: What the job earns.
    """

    release: float
    due: float
    works: tuple[float, ...]
    worth: float


@dataclass
class Choice:
    """The options of one job, each with its worth less the prices of its work.

    Attributes:
        options: The most worthy one first.
        values: For each option, its worth less the price of the work that it needs.
    """

    options: list[Option]
    values: list[float] = field(init=False)

    def __post_init__(self):
        self.values = [option.worth for option in self.options]

    def overlaps(self, begins: float, ends: float) -> bool:
        """Return whether the first option's window, the narrowest, overlaps a span."""
        first = self.options[0]
        return first.release < ends and first.due > begins


@dataclass
class Span:
    """A span of time, with the work that each job's options need in it.

    Attributes:
        room: Work that fits the span.
        needs: The choices whose options need work in the span, each with that work.
        price: Worth per second of work in the span.
    """

    room: float
    needs: list[tuple[Choice, list[float]]]
    price: float = 0.0

    def excess(self, price: float) -> float:
        """Return the work over its room that the best options need at a price."""
        excess = -self.room
        for choice, works in self.needs:
            best, needed = 0.0, 0.0
            for value, work in zip(choice.values, works, strict=True):
                left = value - (price - self.price) * work
                if left > best:
                    best, needed = left, work
            excess += needed
        return excess

    def set_price(self, price: float) -> None:
        """Set the price and charge it to the values of all options."""
        for choice, works in self.needs:
            choice.values = [
                value - (price - self.price) * work
                for value, work in zip(choice.values, works, strict=True)
            ]
        self.price = price

    def set_best_price(self) -> None:
        """Set the price that gives the least bound with the other prices unchanged."""
        if self.excess(0.0) <= 0:
            self.set_price(0.0)
            return
        low = 0.0
        # Above the greatest worth per second of work, no option pays.
        high = max(
            value / work + self.price
            for choice, works in self.needs
            for value, work in zip(choice.values, works, strict=True)
            if work > 0
        )
        for _ in range(HALVINGS):
            middle = (low + high) / 2
            if self.excess(middle) > 0:
                low = middle
            else:
                high = middle
        self.set_price(high)


def earnable_share(jobs: list[OfferedJob], capacity: Capacity) -> float:
    """Return an upper bound on the share of the jobs' worth that can be earned."""
    total = sum(job.worth for job in jobs)
    if not total:
        return 1.0
    choices = [Choice(options_of(job, capacity)) for job in jobs]
    spans = full_spans(choices, capacity)
    least = earnable(choices, spans)
    for _ in range(MOST_ROUNDS):
        for span in spans:
            span.set_best_price()
        before, least = least, min(least, earnable(choices, spans))
        if before - least < LEAST_GAIN * total:
            break
    return least / total


def earnable(choices: list[Choice], spans: list[Span]) -> float:
    """Return the upper bound, in worth, that the prices of the spans give."""
    return sum(span.price * span.room for span in spans) + sum(
        max([0.0, *choice.values]) for choice in choices
    )


def options_of(job: OfferedJob, capacity: Capacity) -> list[Option]:
    """Return the options of a job that it would have with all upstreams to itself."""
    release = first_call(job.arrived, capacity.outages)
    options = []
    for factor, share in ((1.0, 1.0), (LATE_FACTOR, LATE_WORTH_SHARE)):
        waits = min(factor * job.objective, LONGEST_CALL_SECONDS)
        due = last_answer(job.arrived, job.arrived + waits, capacity.outages)
        if max(job.works) <= capacity.longest_run(release, due):
            options.append(Option(release, due, job.works, job.worth * share))
    return options


def first_call(arrived: float, outages: tuple[Outage, ...]) -> float:
    """Return when a job's caller first reaches an entry, after calls in outages."""
    for outage in sorted(outages, key=lambda one: one.begins):
        if outage.begins < arrived < outage.ends:
            left = outage.ends - arrived - ROUNDING_SECONDS
            arrived += math.ceil(left / RESUBMIT_DELAY_SECONDS) * RESUBMIT_DELAY_SECONDS
    return arrived


def last_answer(arrived: float, due: float, outages: tuple[Outage, ...]) -> float:
    """Return the last time up to ``due`` at which an entry can answer a caller."""
    for outage in sorted(outages, key=lambda one: one.begins, reverse=True):
        if arrived <= outage.begins < due < outage.ends:
            due = outage.begins
    return due


def full_spans(choices: list[Choice], capacity: Capacity) -> list[Span]:
    """Return the spans in which the jobs need more work than fits, fullest first.

    Where the first options need no more than the room, a price can't lower the bound:
    a later option of a job has a wider window, and so needs less in each span.
    """
    choices = [choice for choice in choices if choice.options]
    outside = {
        id(option): OutsideWork(option, capacity)
        for choice in choices
        for option in choice.options
    }
    spans = []
    for begins, ends in span_times(choices):
        room = capacity.work(begins, ends)
        near = [choice for choice in choices if choice.overlaps(begins, ends)]
        most = sum(outside[id(one.options[0])].needed(begins, ends) for one in near)
        if most <= room:
            continue
        needs = []
        for choice in near:
            works = [outside[id(one)].needed(begins, ends) for one in choice.options]
            needs.append((choice, works))
        spans.append((most - room, Span(room, needs)))
    spans.sort(key=lambda span: span[0], reverse=True)
    return [span for _, span in spans]


def span_times(choices: list[Choice]) -> Iterator[tuple[float, float]]:
    """Yield the begin and the end of each span in the time of some choices."""
    begin = min((choice.options[0].release for choice in choices), default=0.0)
    end = max((choice.options[0].due for choice in choices), default=0.0)
    last = math.ceil(end / GRID_SECONDS)
    longest = round(LONGEST_SPAN_SECONDS / GRID_SECONDS)
    for first in range(math.floor(begin / GRID_SECONDS), last):
        for after in range(first + 1, min(first + longest, last) + 1):
            yield first * GRID_SECONDS, after * GRID_SECONDS


class OutsideWork:
    """How much work of an option's tasks can be done outside of spans.

    Attributes:
        before: By the begin of a span, the work that one run can do before it.
        after: By the end of a span, the work that one run can do after it.
    """

    def __init__(self, option: Option, capacity: Capacity):
        self.option = option
        self.capacity = capacity
        self.total = sum(option.works)
        self.before: dict[float, float] = {}
        self.after: dict[float, float] = {}

    def needed(self, begins: float, ends: float) -> float:
        """Return the least work of all tasks that must be done within a span."""
        release, due = self.option.release, self.option.due
        if due <= begins or release >= ends:
            return 0.0
        outside = 0.0
        if release < begins:
            if begins not in self.before:
                self.before[begins] = self.capacity.longest_run(release, begins)
            outside += self.before[begins]
        if due > ends:
            if ends not in self.after:
                self.after[ends] = self.capacity.longest_run(ends, due)
            outside += self.after[ends]
        if not outside:
            return self.total
        return sum(max(0.0, work - outside) for work in self.option.works)
