"""Presets and scenarios of the policy benchmark."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotcourse.bench.policy_load import MEAN_SECONDS, SERVICE, JobPlan, Stream
from bergamotcourse.ids import TeamId
from bergamotcourse.state.manifest import (
    Manifest,
    Policy,
    Service,
    Team,
    UpstreamRule,
)
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

WARM_UP_SECONDS = 4.0
FAULT_AT_SECONDS = 5.0
TEAM = TeamId("barakaldo")
OTHER_TEAMS = [TeamId("getxo"), TeamId("gijon"), TeamId("basauri")]


@dataclass(frozen=True)
class Preset:
    """A deployment; all delays are one-way and in seconds.

    Attributes:
        zone_delay: Delay between processes of one availability zone.
        link_delay: Delay between availability zones.
    """

    name: str
    link_delay: float
    caller_delay: float
    response_weight: float
    zone_delay: float = 0.00025
    entries: int = 3
    agents: int = 11
    slots: int = 8

    @property
    def capacity(self) -> float:
        """Return the number of tasks per second that the slots can run."""
        return self.agents * self.slots / MEAN_SECONDS

    def shape(self) -> FleetShape:
        """Return the shape of the virtual fleet."""
        return FleetShape(
            entries=self.entries,
            agents=self.agents,
            slots=self.slots,
            link_delay=self.link_delay,
            caller_delay=self.caller_delay,
        )


PRESETS = {
    "urnalia": Preset("urnalia", 0.001, 0.001, response_weight=0.9),
    "ludotheque": Preset("ludotheque", 0.0005, 0.003, response_weight=0.2),
}


@dataclass
class Fault:
    """A fault injected ``at`` seconds after the start of the measurement."""

    at: float
    inject: Callable[[VirtualFleet], None]


@dataclass
class Plan:
    """The load, faults and configuration of one run."""

    streams: list[Stream]
    jobs: list[JobPlan] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    teams: list[Team] = field(default_factory=lambda: [make_team(TEAM)])
    declared_seconds: float = MEAN_SECONDS


def make_team(name: TeamId, **limits) -> Team:
    """Return a team that may use the service, by default practically without limits."""
    limits.setdefault("quota_starts_per_second", 100_000.0)
    limits.setdefault("max_in_flight", 100_000)
    return Team(name=name, services=[SERVICE], **limits)


def make_manifest(plan: Plan, preset: Preset) -> Manifest:
    """Return the manifest of a run."""
    service = Service(
        name=SERVICE, timeout_seconds=60.0, declared_seconds=plan.declared_seconds
    )
    return Manifest(
        release="bench",
        services=[service],
        upstreams=[UpstreamRule(name="all", services=[SERVICE])],
        teams=plan.teams,
        policy=Policy(response_weight=preset.response_weight),
    )


def steady(preset: Preset, load: float, seconds: float) -> Plan:
    """Return single requests at a constant load."""
    rate = load * preset.capacity
    return Plan([Stream(TEAM, rate, -WARM_UP_SECONDS, seconds)])


def burst(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load plus three times the capacity for one second."""
    plan = steady(preset, load, seconds)
    extra = Stream(TEAM, 3 * preset.capacity, FAULT_AT_SECONDS, FAULT_AT_SECONDS + 1.0)
    plan.streams.append(extra)
    return plan


def straggler(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load with one worker that is ten times as slow."""

    def slow(fleet: VirtualFleet) -> None:
        fleet.upstreams["agent-1"].faults.slow_factor = 10.0

    return _with_fault(steady(preset, load, seconds), slow, -WARM_UP_SECONDS + 1)


def black_hole(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load with one worker that fails every task immediately."""

    def fail(fleet: VirtualFleet) -> None:
        fleet.upstreams["agent-1"].faults.fail = True

    return _with_fault(steady(preset, load, seconds), fail)


def flapping(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load with one worker that fails every other second."""
    plan = steady(preset, load, seconds)
    for second in range(int(seconds)):

        def turn(fleet: VirtualFleet, fail: bool = second % 2 == 0) -> None:
            fleet.upstreams["agent-1"].faults.fail = fail

        plan.faults.append(Fault(float(second), turn))
    return plan


def common_cause(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load with all workers failing for two seconds."""
    plan = steady(preset, load, seconds)
    for at, fail in ((FAULT_AT_SECONDS, True), (FAULT_AT_SECONDS + 2, False)):

        def turn(fleet: VirtualFleet, fail: bool = fail) -> None:
            for upstream in fleet.upstreams.values():
                upstream.faults.fail = fail

        plan.faults.append(Fault(at, turn))
    return plan


def declared_short(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load whose declared run time is a tenth of the true one."""
    plan = steady(preset, load, seconds)
    plan.declared_seconds = MEAN_SECONDS / 10
    return plan


def declared_long(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load whose declared run time is ten times the true one."""
    plan = steady(preset, load, seconds)
    plan.declared_seconds = MEAN_SECONDS * 10
    return plan


def cancel_wave(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load plus a second of twice the capacity whose callers all hang up."""
    plan = steady(preset, load, seconds)
    plan.streams.append(
        Stream(
            TEAM,
            2 * preset.capacity,
            FAULT_AT_SECONDS,
            FAULT_AT_SECONDS + 1,
            leave_at=FAULT_AT_SECONDS + 1.2,
        )
    )
    job = JobPlan(TEAM, FAULT_AT_SECONDS, tasks=400, cancel_at=FAULT_AT_SECONDS + 1.2)
    plan.jobs.append(job)
    return plan


def upstream_leaves(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load with one upstream that leaves as planned."""

    def leave(fleet: VirtualFleet) -> None:
        agent = fleet.agents["agent-1"].agent
        for upstream in list(agent.upstreams.upstreams.values()):
            agent.mark_upstream_leaving(upstream)
        fleet.agents["agent-1"].upstream.down = True

    return _with_fault(steady(preset, load, seconds), leave)


def zone_goes(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a load with an availability zone whose processes are all killed."""

    def die(fleet: VirtualFleet) -> None:
        for agent in fleet.agents.values():
            if agent.agent.location.zone == "zone-3":
                agent.kill()
                agent.upstream.kill()
        fleet.entries["entry-3"].kill()

    return _with_fault(steady(preset, load, seconds), die)


def job_beside(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a job of 1,600 tasks of another team beside a load of single requests."""
    plan = steady(preset, load, seconds)
    other = OTHER_TEAMS[0]
    plan.teams.append(make_team(other))
    plan.jobs.append(JobPlan(other, 1.0))
    return plan


def job_alone(preset: Preset, load: float, seconds: float) -> Plan:
    """Return a job of 1,600 tasks on an idle fleet."""
    return Plan([], jobs=[JobPlan(TEAM, 1.0)])


def over_quota(preset: Preset, load: float, seconds: float) -> Plan:
    """Return four teams, the first at ten times its quota."""
    share = load * preset.capacity / 4
    plan = Plan([Stream(TEAM, 10 * share, -2 * WARM_UP_SECONDS, seconds)])
    plan.teams = [make_team(TEAM, quota_starts_per_second=share)]
    for name in OTHER_TEAMS:
        plan.streams.append(Stream(name, share, -WARM_UP_SECONDS, seconds))
        plan.teams.append(make_team(name))
    return plan


def within_quota(preset: Preset, load: float, seconds: float) -> Plan:
    """Return four teams without quotas, each at its share of the load."""
    plan = unfair(preset, load, seconds)
    first = plan.streams[0]
    plan.streams[0] = Stream(TEAM, first.rate / 10, first.begin, first.end)
    return plan


def unfair(preset: Preset, load: float, seconds: float) -> Plan:
    """Return four teams without quotas, the first at ten times its share."""
    plan = over_quota(preset, load, seconds)
    plan.teams = [make_team(name) for name in [TEAM, *OTHER_TEAMS]]
    return plan


@dataclass(frozen=True)
class Scenario:
    """One scenario and the loads at which it runs.

    Attributes:
        lost_agents: Number of agents without useful capacity from ``lost_at`` on.
    """

    name: str
    plan: Callable[[Preset, float, float], Plan]
    loads: tuple[float, ...] = (0.8,)
    lost_agents: int = 0
    lost_at: float = FAULT_AT_SECONDS


SCENARIOS = {
    scenario.name: scenario
    for scenario in [
        Scenario("steady", steady, (0.3, 0.6, 0.8, 0.95, 1.0, 1.5)),
        Scenario("burst", burst, (0.6,)),
        Scenario("straggler", straggler, lost_agents=1, lost_at=-WARM_UP_SECONDS),
        Scenario("black hole", black_hole, lost_agents=1),
        Scenario("flapping", flapping),
        Scenario("common cause", common_cause, (0.6,)),
        Scenario("declared short", declared_short, (0.8, 1.5)),
        Scenario("declared long", declared_long, (0.8, 1.5)),
        Scenario("cancel wave", cancel_wave, (0.6,)),
        Scenario("upstream leaves", upstream_leaves, lost_agents=1),
        Scenario("zone goes", zone_goes, (0.5,), lost_agents=3),
        Scenario("job beside", job_beside, (0.2,)),
        Scenario("job alone", job_alone, (0.0,)),
        Scenario("within quota", within_quota),
        Scenario("over quota", over_quota),
        Scenario("unfair", unfair),
    ]
}


def _with_fault(
    plan: Plan, inject: Callable[[VirtualFleet], None], at: float = FAULT_AT_SECONDS
) -> Plan:
    plan.faults.append(Fault(at, inject))
    return plan
