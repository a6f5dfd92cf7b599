"""A model of the two leases, explored exhaustively.

An entry dies at time 0. Its agent may be paused for any time and killed at any moment,
each order may be lost, and what a paused process does first at its thaw is open. All
states are visited; in none may the run live when the caller comes again elsewhere.

An order that is carried out late is no worse than one carried out at once: it carries
the end of the lease as a point in time, and bars or ends the same run.
"""

import math
from dataclasses import dataclass, replace
from enum import Enum

import pytest

from bergamotcourse.coordination.jobs.lease_terms import (
    CONTACT_LEASE_SECONDS,
    MAX_CLOCK_DRIFT,
    MAX_STOP_SECONDS,
    UPSTREAM_LEASE_SECONDS,
)

TICK_SECONDS = 0.05
RESEND_SECONDS = 1.3


def ticks(seconds: float) -> int:
    """Return how many ticks cover so many seconds."""
    return math.ceil(round(seconds / TICK_SECONDS, 6))


class Agent(Enum):
    RUNS = "runs"
    PAUSED = "paused"
    DEAD = "dead"


class Run(Enum):
    ORDERED = "ordered"
    RUNNING = "running"
    OVER = "over"


@dataclass(frozen=True)
class Terms:
    """What the processes do; each guard can be switched off.

    Attributes:
        contact: Ticks for which an agent keeps the runs of a silent entry.
        lease: Ticks of the upstream's lease, its clock's error included.
        lapses: The upstream ends runs whose lease has ended.
        renews_for_the_wanted: A renewal asks first whether the contact has ended.
        starts_for_the_wanted: So does each order to start.
        stops: An agent ends the runs of an entry whose contact has ended.
    """

    contact: int = ticks(CONTACT_LEASE_SECONDS)
    lease: int = ticks(UPSTREAM_LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT))
    lapses: bool = True
    renews_for_the_wanted: bool = True
    starts_for_the_wanted: bool = True
    stops: bool = True


@dataclass(frozen=True)
class State:
    """One moment; times in ticks since the entry's death.

    Attributes:
        until: End of the lease at the upstream.
        contact_end: Of the agent's contact with the entry.
        noticed: The agent has seen that it ended.
    """

    now: int
    agent: Agent
    run: Run
    until: int
    contact_end: int
    noticed: bool = False


def begin(terms: Terms):
    """Return the states in which the entry may have died."""
    for contact_end in range(terms.contact + 1):
        yield State(0, Agent.RUNS, Run.ORDERED, 0, contact_end)
        for until in range(1, terms.lease + 1):
            yield State(0, Agent.RUNS, Run.RUNNING, until, contact_end)


def act(state: State, terms: Terms):
    """Return what one tick of the agent may lead to, in any order of its tasks."""
    yield state
    if state.agent is not Agent.RUNS:
        return
    in_contact = state.now < state.contact_end
    end = state.now + terms.lease
    may_renew = in_contact or (not terms.renews_for_the_wanted and not state.noticed)
    may_start = in_contact or (not terms.starts_for_the_wanted and not state.noticed)
    if state.run is Run.RUNNING and may_renew:
        yield replace(state, until=end)
    if state.run is Run.ORDERED and may_start:
        yield replace(state, run=Run.RUNNING, until=end)


def notice(state: State, terms: Terms):
    """Return the state once the agent has looked at its contacts."""
    if state.agent is not Agent.RUNS or state.now < state.contact_end:
        return state
    if not terms.stops:
        return state
    return replace(state, noticed=True)


def stop(state: State):
    """Return what an order to stop may lead to: it may be lost."""
    yield state
    if state.noticed and state.agent is Agent.RUNS:
        yield replace(state, run=Run.OVER)


def struck(state: State):
    """Return what a fault may make of the agent."""
    yield state
    match state.agent:
        case Agent.RUNS:
            yield replace(state, agent=Agent.PAUSED)
            yield replace(state, agent=Agent.DEAD)
        case Agent.PAUSED:
            yield replace(state, agent=Agent.RUNS)
            yield replace(state, agent=Agent.DEAD)


def step(state: State, terms: Terms):
    """Return all states that may follow within a tick."""
    for before in struck(state):
        for acted in act(before, terms):
            # A fault may come before the agent has looked at its contacts.
            for after in struck(acted):
                for stopped in stop(notice(after, terms)):
                    yield pass_tick(stopped, terms)


def pass_tick(state: State, terms: Terms) -> State:
    """Return the state a tick later."""
    now = state.now + 1
    if terms.lapses and state.run is Run.RUNNING and now >= state.until:
        return replace(state, now=now, run=Run.OVER)
    return replace(state, now=now)


def explore(terms: Terms) -> tuple[int, State | None]:
    """Return how many states were visited, and one in which two runs may overlap."""
    comes_again = ticks(RESEND_SECONDS) - ticks(MAX_STOP_SECONDS)
    seen: set[State] = set()
    todo = list(begin(terms))
    while todo:
        state = todo.pop()
        if state in seen:
            continue
        seen.add(state)
        if state.now >= comes_again:
            if state.run is Run.RUNNING:
                return len(seen), state
            continue
        todo.extend(step(state, terms))
    return len(seen), None


class TestContract:
    def test_no_run_lives_when_the_caller_comes_again(self):
        count, found = explore(Terms())
        assert found is None
        assert count > 10_000

    @pytest.mark.parametrize(
        "terms",
        [
            Terms(lapses=False),
            Terms(renews_for_the_wanted=False),
            Terms(starts_for_the_wanted=False),
            Terms(contact=ticks(CONTACT_LEASE_SECONDS) + 4),
            Terms(lease=ticks(UPSTREAM_LEASE_SECONDS) + 5),
        ],
        ids=["no lapse", "renewals", "starts", "long contact", "long lease"],
    )
    def test_without_a_guard_one_may(self, terms):
        _, found = explore(terms)
        assert found is not None

    def test_the_agents_own_stops_are_not_needed_for_it(self):
        """They end what nobody wants sooner; the leases alone keep runs apart."""
        assert explore(Terms(stops=False))[1] is None
