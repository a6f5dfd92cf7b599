"""Routing variants that the policy benchmark compares."""

from collections.abc import Callable
from dataclasses import dataclass, fields, replace

from bergamotcourse.coordination.decisions import Decisions
from bergamotcourse.coordination.routing import RandomAgent, RoundRobin, TwoChoices
from bergamotcourse.virtual.processes import VirtualAgent, VirtualEntry

LONG_QUEUE_TASKS = 1_000_000
SWITCHES = [f.name for f in fields(Decisions) if f.default is True]


@dataclass(frozen=True)
class Variant:
    """One routing variant.

    Attributes:
        change_entry: Modifies an entry before it serves requests.
        change_agent: Modifies an agent before it serves requests.
    """

    name: str
    change_entry: Callable[[VirtualEntry], None]
    change_agent: Callable[[VirtualAgent], None]


def _use_routing_policy(policy) -> Callable[[VirtualEntry], None]:
    def change(process: VirtualEntry) -> None:
        router = process.entry.router
        router.policy = policy
        for name in SWITCHES:
            setattr(router.decisions, name, False)

    return change


def _allow_long_queue(process: VirtualAgent) -> None:
    agent = process.agent
    agent.limits = replace(agent.limits, queue_tasks=LONG_QUEUE_TASKS)


def _without_decision(name: str) -> Callable[[VirtualEntry], None]:
    def change(process: VirtualEntry) -> None:
        setattr(process.entry.router.decisions, name, False)

    return change


def _change_nothing(_process) -> None:
    pass


OURS = Variant("ours", _change_nothing, _change_nothing)
BASELINES = [
    Variant("naive", _use_routing_policy(RandomAgent()), _allow_long_queue),
    Variant("round robin", _use_routing_policy(RoundRobin()), _allow_long_queue),
    Variant("two choices", _use_routing_policy(TwoChoices()), _allow_long_queue),
]
ABLATIONS = [
    Variant(f"no {name}", _without_decision(name), _change_nothing) for name in SWITCHES
]
VARIANTS = {variant.name: variant for variant in [*BASELINES, OURS, *ABLATIONS]}
