"""A load to replay: what callers hand in, and what goes wrong meanwhile."""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.state.issues import Issue
from bergamotcourse.state.yaml_text import parse_yaml, read_text

Positive = Annotated[float, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of a load file; a key that it does not have is an error."""


class Kind(Record, frozen=True):
    """A kind of job.

    Attributes:
        share: Of all jobs, in parts of the sum over the kinds.
        tasks: Mean number of tasks.
        work: Declared seconds of a task.
        worth: Of a job in time; in any unit.
        slack_factor: Of the objective, with ``target``.
        target: Seconds of the objective beside its part for the work.
        payload_bytes: Of the payload that each of its tasks is told.
        crashing: Share of its jobs of which a task crashes the upstreams that run it;
            these are not counted.
    """

    name: str
    share: Positive
    tasks: Count
    work: Positive
    worth: Positive = 1.0
    slack_factor: Positive = 1.6
    target: Seconds = 0.06
    payload_bytes: Count = 1
    crashing: Share = 0.0


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Something that happens ``at`` seconds after the first counted job."""

    at: Seconds


class Burst(Event, frozen=True, tag="burst"):
    """``factor`` times the jobs, all or those of one kind."""

    seconds: Positive
    factor: Positive
    job: str = ""


class UpstreamEvent(Event, frozen=True):
    """Something that happens to the first so many upstreams."""

    upstreams: Count = 1
    seconds: Positive = 5.0


class Slow(UpstreamEvent, frozen=True, tag="slow"):
    """Tasks take ``factor`` times as long."""

    factor: Positive = 6.0


class Stalled(UpstreamEvent, frozen=True, tag="stalled"):
    """Tasks stand still."""


class Failing(UpstreamEvent, frozen=True, tag="failing"):
    """All tasks fail."""


class Unanswered(UpstreamEvent, frozen=True, tag="unanswered"):
    """A share of the orders gets no answer and is carried out seconds later."""

    share: Share = 0.05


class UpstreamLost(UpstreamEvent, frozen=True, tag="upstream-lost"):
    """Upstreams crash, and others come in their place."""


class Leaving(UpstreamEvent, frozen=True, tag="leaving"):
    """Upstreams drain, are gone, and others come in their place."""


class EntryLost(Event, frozen=True, tag="entry-lost"):
    """Entries are killed, and come back."""

    entries: Count = 1
    seconds: Positive = 1.0


class EntryPaused(Event, frozen=True, tag="entry-paused"):
    """Entries stand still, and go on with all that has come meanwhile."""

    entries: Count = 1
    seconds: Positive = 0.5


class AllLost(Event, frozen=True, tag="all-lost"):
    """All entries and agents are killed, and come back."""

    seconds: Positive = 1.0


AnyEvent = (
    Burst
    | Slow
    | Stalled
    | Failing
    | Unanswered
    | UpstreamLost
    | Leaving
    | EntryLost
    | EntryPaused
    | AllLost
)


class Load(Record, frozen=True):
    """What is replayed.

    Attributes:
        load: Work that comes, in parts of what all upstreams can do.
        seconds: For how long jobs arrive and are counted.
        spread: Deviation of the logarithm of a task's time over the declared.
        error: By how much the declared times of a kind are off, up or down.
        slots: Tasks that an upstream runs at a time.
        slowest: Times as long as at the fastest that tasks take at the slowest
            upstream; the others lie between.
        link_mbps: Of each entry's link, in each direction; 0 for no limit.
    """

    kinds: list[Kind]
    events: list[AnyEvent] = []
    load: Positive = 0.8
    seconds: Positive = 10.0
    entries: Count = 3
    agents: Count = 10
    slots: Count = 10
    slowest: Positive = 1.0
    link_mbps: Rate = 0.0
    spread: Seconds = 0.44
    error: Share = 0.2


def read_load(path: str) -> Result[Load, list[Issue]]:
    """Return the load in a file, or what is wrong with it."""
    return (
        read_text(path)
        .bind(lambda text: parse_yaml(text, path))
        .bind(lambda document: convert_load(document, path))
    )


def convert_load(document, file: str) -> Result[Load, list[Issue]]:
    """Return the load in plain data, or what is wrong with it."""
    try:
        load = msgspec.convert(document, Load)
    except msgspec.ValidationError as error:
        return Error([Issue(file, "", str(error))])
    names = [kind.name for kind in load.kinds]
    issues = [
        Issue(file, f"kinds.{name}", "two kinds have this name")
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
    issues += [
        Issue(file, f"events[{place}]", f"there is no kind of job {event.job!r}")
        for place, event in enumerate(load.events)
        if isinstance(event, Burst) and event.job and event.job not in names
    ]
    if not names:
        issues.append(Issue(file, "kinds", "at least one kind is needed"))
    return Error(issues) if issues else Ok(load)
