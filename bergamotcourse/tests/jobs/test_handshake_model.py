"""A model of a placement without contact, explored exhaustively.

An entry places a run at an agent that it has not heard of late. Messages may be lost,
doubled, and overtake each other without bound; a lease may be valid or over whenever it
is asked for. An entry that hears nothing after the placement may take the run back and
place it elsewhere at any moment. All states are visited; in none of those in which it
did so may the run have started.
"""

from dataclasses import dataclass, replace

import pytest

PLACE, WITHDRAW = "place", "withdraw"


@dataclass(frozen=True)
class Rules:
    """What the processes do; each guard can be switched off.

    Attributes:
        own_echo: A run starts by the echo of the message that lets it, not by a lease
            that the agent has from another.
        no_gap: All items that the entry had when it sent that message must have come.
        told_last: The message tells of all these items, not only of those before its
            own: of many that are sent again it carries the first alone.
        only_unheard: A run is taken back only while nothing was heard.
    """

    own_echo: bool = True
    no_gap: bool = True
    told_last: bool = True
    only_unheard: bool = True


@dataclass(frozen=True)
class FromEntry:
    """A message; ``fresh`` where it echoes one that came after the placement."""

    fresh: bool
    first: int
    items: tuple[str, ...]
    last: int


@dataclass(frozen=True)
class State:
    """One moment.

    Attributes:
        heard: The entry has heard the agent since it placed the run.
        taken_back: The run was placed elsewhere.
        items: What the entry may send, by number from 1.
        to_agent: Messages on their way, which may arrive any number of times, or never.
        turn_on_way: A message of the agent is on its way.
        seen: The last item that the agent has taken.
        held: The agent holds the run.
        lease: The agent had a lease by a message that came, and it may not be over.
        started: The run has started.
    """

    heard: bool = False
    taken_back: bool = False
    items: tuple[str, ...] = (PLACE,)
    to_agent: frozenset[FromEntry] = frozenset()
    turn_on_way: bool = False
    seen: int = 0
    held: bool = False
    lease: bool = False
    started: bool = False


def entry_steps(state: State, rules: Rules):
    """Return what the entry may do."""
    if state.turn_on_way:
        yield replace(state, heard=True)
    if not state.taken_back and not (rules.only_unheard and state.heard):
        yield replace(state, taken_back=True, items=(PLACE, WITHDRAW))
    if state.taken_back and not state.heard:
        return
    last = len(state.items)
    for first in range(1, last + 2):
        for end in range(first - 1, last + 1):
            items = state.items[first - 1 : end]
            message = FromEntry(state.heard, first, items, last)
            yield replace(state, to_agent=state.to_agent | {message})


def agent_steps(state: State, rules: Rules):
    """Return what the agent may do."""
    yield replace(state, turn_on_way=True)
    yield replace(state, lease=False)
    for message in state.to_agent:
        for in_time in (False, True):
            yield receive(state, message, message.fresh and in_time, rules)


def receive(state: State, message: FromEntry, renews: bool, rules: Rules) -> State:
    """Return the state after a message came, whose echo renews the lease or not."""
    state = replace(state, lease=state.lease or renews)
    fresh = ()
    if message.first <= state.seen + 1:
        fresh = message.items[state.seen + 1 - message.first :]
    for item in fresh:
        state = replace(state, held=item is PLACE, seen=state.seen + 1)
    last = message.last if rules.told_last else message.first - 1
    lacks = state.seen < last
    may_start = renews if rules.own_echo else state.lease
    if state.held and may_start and not (rules.no_gap and lacks):
        return replace(state, held=False, started=True)
    return state


def explore(rules: Rules) -> tuple[int, State | None]:
    """Return how many states were visited, and one in which two runs may overlap."""
    seen: set[State] = set()
    todo = [State()]
    while todo:
        state = todo.pop()
        if state in seen:
            continue
        seen.add(state)
        if state.started and state.taken_back:
            return len(seen), state
        if not state.started:
            todo.extend(entry_steps(state, rules))
            todo.extend(agent_steps(state, rules))
    return len(seen), None


class TestHandshake:
    def test_what_was_taken_back_never_starts(self):
        count, found = explore(Rules())
        assert found is None
        assert count >= 200

    @pytest.mark.parametrize(
        "rules",
        [
            Rules(own_echo=False),
            Rules(no_gap=False),
            Rules(told_last=False),
            Rules(only_unheard=False),
        ],
        ids=["own echo", "no gap", "told last", "only unheard"],
    )
    def test_without_a_guard_it_may(self, rules):
        _, found = explore(rules)
        assert found is not None
