"""Exhaustive exploration of a model of the two leases.

At time 0 an entry dies, or it withdraws the run and goes on to answer its agent. The
agent may be paused for any time and killed at any moment, each order may be lost, and a
resumed process may perform its tasks in any order. The agent also has a run of another
entry, for which it renews the lease. All states are visited; in none may the run be
alive when the caller submits the job again elsewhere.

A withdrawal arrives within ``WITHDRAWAL_SECONDS`` unless the agent is paused.

The model needs no delayed orders. An order that is executed late does no more harm than
one executed at once: it carries the end of the lease as a point in time, and stops or
bars the same run.
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
CALLER_RETRY_SECONDS = 1.3
WITHDRAWAL_SECONDS = 0.1


def ticks(seconds: float) -> int:
    """Return the number of ticks that cover a time in seconds."""
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
    """Rules of the processes; each guard can be disabled.

    Attributes:
        contact: Ticks for which an agent keeps the runs of a silent entry.
        lease: Ticks of the upstream's lease, including the error of its clock.
        expires: The upstream stops runs whose lease has expired.
        checks_before_renewal: The agent renews only while in contact with the entry.
        checks_before_start: The agent orders starts only while in contact.
        stops: The agent stops the runs of an entry whose contact has ended.
        checks_stops: The agent renews only once each stop that it has ordered is
            confirmed.
    """

    contact: int = ticks(CONTACT_LEASE_SECONDS)
    lease: int = ticks(UPSTREAM_LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT))
    expires: bool = True
    checks_before_renewal: bool = True
    checks_before_start: bool = True
    stops: bool = True
    checks_stops: bool = True


@dataclass(frozen=True)
class State:
    """State at one moment; times are in ticks since the entry's death or withdrawal.

    Attributes:
        until: End of the lease at the upstream.
        contact_end: End of the agent's contact with the entry.
        noticed: The agent has noticed that the run must end, and orders its stop.
        answers: The entry lives and echoes the agent's messages.
        withdrawn_by: Latest time at which the withdrawal arrives; ``None`` without one.
    """

    now: int
    agent: Agent
    run: Run
    until: int
    contact_end: int
    noticed: bool = False
    answers: bool = False
    withdrawn_by: int | None = None


def states_at_death(terms: Terms):
    """Return the states in which the entry may die."""
    for contact_end in range(terms.contact + 1):
        yield State(0, Agent.RUNS, Run.ORDERED, 0, contact_end)
        for until in range(1, terms.lease + 1):
            yield State(0, Agent.RUNS, Run.RUNNING, until, contact_end)


def states_at_withdrawal(terms: Terms):
    """Return the states in which an entry that lives may withdraw the run."""
    for state in states_at_death(terms):
        yield replace(state, answers=True, withdrawn_by=ticks(WITHDRAWAL_SECONDS))


def act(state: State, terms: Terms):
    """Return the states after one tick of the agent, in any order of its tasks."""
    yield state
    if state.agent is not Agent.RUNS:
        return
    in_contact = state.now < state.contact_end and not state.noticed
    end = state.now + terms.lease
    may_renew = in_contact or (not terms.checks_before_renewal and not state.noticed)
    if state.noticed and not terms.checks_stops:
        may_renew = True
    may_start = in_contact or (not terms.checks_before_start and not state.noticed)
    if state.run is Run.RUNNING and may_renew:
        yield replace(state, until=end)
    if state.run is Run.ORDERED and may_start:
        yield replace(state, run=Run.RUNNING, until=end)


def hear(state: State, terms: Terms):
    """Return the states after a tick in which the entry may be heard."""
    if state.agent is not Agent.RUNS or not state.answers or state.noticed:
        yield state
        return
    if state.now < state.withdrawn_by:
        yield state
        yield replace(state, contact_end=state.now + terms.contact)
    yield replace(state, noticed=True)


def notice(state: State, terms: Terms):
    """Return the state after the agent has checked its contacts."""
    if state.agent is not Agent.RUNS or state.now < state.contact_end:
        return state
    if not terms.stops:
        return state
    return replace(state, noticed=True)


def stop(state: State):
    """Return the states after an order to stop, which may be lost."""
    yield state
    if state.noticed and state.agent is Agent.RUNS:
        yield replace(state, run=Run.OVER)


def inject_fault(state: State):
    """Return the states after a possible fault of the agent."""
    yield state
    match state.agent:
        case Agent.RUNS:
            yield replace(state, agent=Agent.PAUSED)
            yield replace(state, agent=Agent.DEAD)
        case Agent.PAUSED:
            yield replace(state, agent=Agent.RUNS)
            yield replace(state, agent=Agent.DEAD)


def step(state: State, terms: Terms):
    """Return all states that are possible a tick later."""
    for before in inject_fault(state):
        for acted in act(before, terms):
            # A fault may occur before the agent checks its contacts.
            for after in inject_fault(acted):
                for heard in hear(after, terms):
                    for stopped in stop(notice(heard, terms)):
                        yield pass_tick(stopped, terms)


def pass_tick(state: State, terms: Terms) -> State:
    """Return the state a tick later, without any action of the agent."""
    now = state.now + 1
    if terms.expires and state.run is Run.RUNNING and now >= state.until:
        return replace(state, now=now, run=Run.OVER)
    return replace(state, now=now)


def explore(terms: Terms, initial_states=states_at_death) -> tuple[int, State | None]:
    """Return the number of visited states, and one in which two runs may overlap."""
    resubmission = ticks(CALLER_RETRY_SECONDS) - ticks(MAX_STOP_SECONDS)
    seen: set[State] = set()
    todo = list(initial_states(terms))
    while todo:
        state = todo.pop()
        if state in seen:
            continue
        seen.add(state)
        if state.now >= resubmission:
            if state.run is Run.RUNNING:
                return len(seen), state
            continue
        todo.extend(step(state, terms))
    return len(seen), None


STARTS = pytest.mark.parametrize(
    "initial_states", [states_at_death, states_at_withdrawal], ids=["death", "alive"]
)


class TestLeases:
    @STARTS
    def test_no_run_is_alive_when_the_caller_resubmits(self, initial_states):
        count, found = explore(Terms(), initial_states)
        assert found is None
        assert count > 10_000

    @pytest.mark.parametrize(
        "terms",
        [
            Terms(expires=False),
            Terms(checks_before_renewal=False),
            Terms(checks_before_start=False),
            Terms(contact=ticks(CONTACT_LEASE_SECONDS) + 4),
            Terms(lease=ticks(UPSTREAM_LEASE_SECONDS) + 5),
        ],
        ids=["no lapse", "renewals", "starts", "long contact", "long lease"],
    )
    def test_without_a_guard_a_run_may_be_alive(self, terms):
        _, found = explore(terms)
        assert found is not None

    @STARTS
    def test_a_run_may_be_alive_if_stops_count_once_ordered(self, initial_states):
        """Guards against a lease that is renewed while stop orders are lost."""
        _, found = explore(Terms(checks_stops=False), initial_states)
        assert found is not None

    @STARTS
    def test_leases_suffice_without_stops_by_the_agent(self, initial_states):
        """Stops only end abandoned runs sooner; the leases alone keep runs apart."""
        assert explore(Terms(stops=False), initial_states)[1] is None
