"""Exhaustive exploration of a model of a placement without contact.

An entry places a run at an agent from which it has no recent message. Messages may be
lost, duplicated and reordered without bound; a lease may be valid or expired whenever
it is checked. An entry that receives nothing after the placement may withdraw the run
and place it elsewhere at any moment. All states are visited; in none of those in which
it did so may the run have started.
"""

from dataclasses import dataclass, replace

import pytest

PLACE, WITHDRAW = "place", "withdraw"


@dataclass(frozen=True)
class Rules:
    """Rules of the processes; each guard can be disabled.

    Attributes:
        own_echo: A run is started only by a message whose own echo renews the lease,
            not by a lease that the agent has from another message.
        no_gap: All items that the entry had when it sent that message must have
            arrived.
        reports_last: The message reports the number of the last of these items, not
            only of those before its own: a retransmission carries only the first.
        only_unanswered: A run is withdrawn only if nothing was received since.
    """

    own_echo: bool = True
    no_gap: bool = True
    reports_last: bool = True
    only_unanswered: bool = True


@dataclass(frozen=True)
class FromEntry:
    """A message; ``fresh`` if it echoes one received after the placement."""

    fresh: bool
    first: int
    items: tuple[str, ...]
    last: int


@dataclass(frozen=True)
class State:
    """State at one moment.

    Attributes:
        answered: The entry has received a message of the agent since the placement.
        withdrawn: The run was withdrawn and placed elsewhere.
        items: Items that the entry may send, by number from 1.
        to_agent: Messages in flight, which may arrive any number of times, or never.
        turn_in_flight: A message of the agent is in flight.
        seen: Number of the last item that the agent has received in order.
        held: The agent holds the run.
        lease: A received message gave the agent a lease, which may still be valid.
        started: The run has started.
    """

    answered: bool = False
    withdrawn: bool = False
    items: tuple[str, ...] = (PLACE,)
    to_agent: frozenset[FromEntry] = frozenset()
    turn_in_flight: bool = False
    seen: int = 0
    held: bool = False
    lease: bool = False
    started: bool = False


def entry_steps(state: State, rules: Rules):
    """Return the states after a possible action of the entry."""
    if state.turn_in_flight:
        yield replace(state, answered=True)
    if not state.withdrawn and not (rules.only_unanswered and state.answered):
        yield replace(state, withdrawn=True, items=(PLACE, WITHDRAW))
    if state.withdrawn and not state.answered:
        return
    last = len(state.items)
    for first in range(1, last + 2):
        for end in range(first - 1, last + 1):
            items = state.items[first - 1 : end]
            message = FromEntry(state.answered, first, items, last)
            yield replace(state, to_agent=state.to_agent | {message})


def agent_steps(state: State, rules: Rules):
    """Return the states after a possible action of the agent."""
    yield replace(state, turn_in_flight=True)
    yield replace(state, lease=False)
    for message in state.to_agent:
        for in_time in (False, True):
            yield receive(state, message, message.fresh and in_time, rules)


def receive(state: State, message: FromEntry, renews: bool, rules: Rules) -> State:
    """Return the state after a message arrived, whose echo may renew the lease."""
    state = replace(state, lease=state.lease or renews)
    new_items = ()
    if message.first <= state.seen + 1:
        new_items = message.items[state.seen + 1 - message.first :]
    for item in new_items:
        state = replace(state, held=item is PLACE, seen=state.seen + 1)
    last = message.last if rules.reports_last else message.first - 1
    has_gap = state.seen < last
    may_start = renews if rules.own_echo else state.lease
    if state.held and may_start and not (rules.no_gap and has_gap):
        return replace(state, held=False, started=True)
    return state


def explore(rules: Rules) -> tuple[int, State | None]:
    """Return the number of visited states, and one in which two runs may overlap."""
    seen: set[State] = set()
    todo = [State()]
    while todo:
        state = todo.pop()
        if state in seen:
            continue
        seen.add(state)
        if state.started and state.withdrawn:
            return len(seen), state
        if not state.started:
            todo.extend(entry_steps(state, rules))
            todo.extend(agent_steps(state, rules))
    return len(seen), None


class TestHandshake:
    def test_withdrawn_run_never_starts(self):
        count, found = explore(Rules())
        assert found is None
        assert count >= 200

    @pytest.mark.parametrize(
        "rules",
        [
            Rules(own_echo=False),
            Rules(no_gap=False),
            Rules(reports_last=False),
            Rules(only_unanswered=False),
        ],
        ids=["own echo", "no gap", "reports last", "only unanswered"],
    )
    def test_without_a_guard_withdrawn_run_may_start(self, rules):
        _, found = explore(rules)
        assert found is not None
