"""The load file of a replay: the jobs that callers submit, and the injected faults."""

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
    """A section of a load file; unknown keys are validation errors."""


class Kind(Record, frozen=True):
    """A kind of job.

    Attributes:
        share: Relative weight of this kind among all jobs; the weights of all kinds
            need not sum to 1.
        tasks: Mean number of tasks of a job.
        work: Declared run time of a task, in seconds.
        worth: Value of a job that meets its latency objective, in any unit.
        slack_factor: Factor of the latency objective that applies to the work.
        target: Constant part of the latency objective, in seconds.
        payload_bytes: Size of the payload that each task receives, in bytes.
        priority: Priority of the kind's queue; 0 is the highest.
        crashing: Share of the jobs that have a task which crashes every upstream
            that runs it; these jobs are not counted.
    """

    name: str
    share: Positive
    tasks: Count
    work: Positive
    worth: Positive = 1.0
    slack_factor: Positive = 1.6
    target: Seconds = 0.06
    payload_bytes: Count = 1
    priority: Annotated[int, msgspec.Meta(ge=0)] = 0
    crashing: Share = 0.0


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """An event that begins ``at`` seconds after the counted time begins."""

    at: Seconds


class Burst(Event, frozen=True, tag="burst"):
    """Multiplies the arrival rate by ``factor``, for the kind ``job`` or for all."""

    seconds: Positive
    factor: Positive
    job: str = ""


class UpstreamEvent(Event, frozen=True):
    """An event that affects the first ``upstreams`` upstreams."""

    upstreams: Count = 1
    seconds: Positive = 5.0


class Slow(UpstreamEvent, frozen=True, tag="slow"):
    """Tasks run ``factor`` times as long."""

    factor: Positive = 6.0


class Stalled(UpstreamEvent, frozen=True, tag="stalled"):
    """Tasks make no progress."""


class Failing(UpstreamEvent, frozen=True, tag="failing"):
    """All tasks fail."""


class Unanswered(UpstreamEvent, frozen=True, tag="unanswered"):
    """A share of the orders is not answered and is executed seconds later."""

    share: Share = 0.05


class UpstreamLost(UpstreamEvent, frozen=True, tag="upstream-lost"):
    """Upstreams crash and are replaced after ``seconds``."""


class Leaving(UpstreamEvent, frozen=True, tag="leaving"):
    """Upstreams drain for ``notice`` seconds, stop, and are replaced after ``seconds``.

    Attributes:
        announces: Whether their reports state the time that is left.
    """

    notice: Positive = 2.0
    announces: bool = False


class EntryLost(Event, frozen=True, tag="entry-lost"):
    """Entries are killed and restart after ``seconds``."""

    entries: Count = 1
    seconds: Positive = 1.0


class EntryPaused(Event, frozen=True, tag="entry-paused"):
    """Entries are paused, and then process all messages received meanwhile."""

    entries: Count = 1
    seconds: Positive = 0.5


class AllLost(Event, frozen=True, tag="all-lost"):
    """All entries and agents are killed and restart after ``seconds``."""

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
    """A load to replay.

    Attributes:
        load: Submitted work as a fraction of the capacity of all upstreams.
        seconds: Length of the time in which arriving jobs are counted, in seconds.
        spread: Standard deviation of the logarithm of the ratio of a task's actual
            run time to the declared one.
        error: Largest relative error of the declared run time of a kind, in either
            direction.
        slots: Number of tasks that an upstream runs concurrently.
        slowest: Run time at the slowest upstream relative to the fastest; the other
            upstreams are spaced evenly between the two.
        speeds: Speeds of the upstreams relative to the nominal one, assigned in turn;
            takes precedence over ``slowest``.
        link_mbps: Bandwidth of each entry's link in each direction, in Mbit/s;
            0 means no limit.
        entry_cores: Processor time of each entry, in cores; 0 if its work takes no
            time.
        returns: Share of the refused callers that submit a new job after
            ``Retry-After``.
    """

    kinds: list[Kind]
    events: list[AnyEvent] = []
    load: Positive = 0.8
    seconds: Positive = 10.0
    entries: Count = 3
    agents: Count = 10
    slots: Count = 10
    slowest: Positive = 1.0
    speeds: list[Positive] = []
    link_mbps: Rate = 0.0
    entry_cores: Rate = 0.0
    spread: Seconds = 0.44
    error: Share = 0.2
    returns: Share = 0.0


def read_load(path: str) -> Result[Load, list[Issue]]:
    """Return the load read from a YAML file, or the issues found in it."""
    return (
        read_text(path)
        .bind(lambda text: parse_yaml(text, path))
        .bind(lambda document: convert_load(document, path))
    )


def convert_load(document, file: str) -> Result[Load, list[Issue]]:
    """Return the load decoded from a YAML document, or the issues found in it."""
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
        Issue(file, f"events[{index}]", f"there is no kind of job {event.job!r}")
        for index, event in enumerate(load.events)
        if isinstance(event, Burst) and event.job and event.job not in names
    ]
    if not names:
        issues.append(Issue(file, "kinds", "at least one kind is needed"))
    return Error(issues) if issues else Ok(load)
