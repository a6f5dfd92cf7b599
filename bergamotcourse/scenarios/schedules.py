"""Generates scenarios with random faults and submissions, each from a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

CHAOS_SECONDS = 8.0
RECOVERY_SECONDS = 10.0
"""Time from the end of all faults until requests must be served again."""

MEAN_SUBMIT_INTERVAL_SECONDS = 0.35
MAX_EPISODES = 4
RESUBMIT_PROBABILITY = 0.6
JOB_SHARE = 0.25
FINAL_PREFIX = "last-"
"""Prefix of the names of the requests that end a schedule."""

KEY_CHOICES = ["uuid7", "uuid7", "opaque", "handed-out", "handed-out", "none"]
TRAPPED_MESSAGES = [
    "Start",
    "Claim",
    "Granted",
    "Finished",
    "AskAnswer",
    "Answer",
    "Fence",
]


class FaultKind(Enum):
    """The kinds of faults in a schedule."""

    KILL_ENTRY = "an entry is killed"
    KILL_AGENT = "an agent is killed"
    KILL_ENTRIES = "all entries are killed"
    FREEZE_ENTRY = "an entry is paused"
    FREEZE_AGENT = "an agent is paused"
    STOP_ENTRY = "an entry is stopped as planned"
    STOP_AGENT = "an agent is stopped as planned"
    CUT = "a link is cut"
    CUT_FROM_STORE = "an entry is cut off from the store"
    OUTAGE = "the store is away"
    SLOW_STORE = "the store is slow"
    LOST_ANSWERS = "answers of the store are lost"
    LOST_CALLS = "calls to the store are lost"
    NETWORK = "messages are lost, doubled, reordered"
    TRAP = "a process dies or is paused at a message"
    UPSTREAM = "an upstream is slow or fails"
    LATE_START = "an entry is paused before a start, which comes again elsewhere"
    LATE_CLAIM = "an entry is paused before a claim or grant, which comes again"
    LOST_CLAIMANT = "an entry dies at a start, which comes again elsewhere"
    LOST_PAIR = "an entry and an agent die together"


@dataclass(frozen=True)
class Event:
    """A line of the scenario, and its time in seconds."""

    at: float
    line: str


@dataclass
class Schedule:
    """A scenario generated from a seed.

    Attributes:
        kinds: The kinds of faults in it.
    """

    seed: int
    lines: list[str] = field(default_factory=list)
    kinds: set[FaultKind] = field(default_factory=set)

    @property
    def text(self) -> str:
        """Return the text of the scenario."""
        return "\n".join(self.lines) + "\n"


class ScheduleMaker:
    """Generates one schedule from a seed."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.schedule = Schedule(seed)
        self.events: list[Event] = []
        self.targeted_count = 0
        self.entries = self._process_names("entry", self.rng.choice([2, 2, 3]))
        self.agents = self._process_names("agent", self.rng.choice([3, 3, 4]))

    def make(self) -> Schedule:
        """Generate and return the schedule."""
        sizes = f"entries {len(self.entries)} agents {len(self.agents)}"
        self.schedule.lines.append(f"fleet {sizes} slots 3 heartbeat 0.5")
        for _ in range(self.rng.randint(1, MAX_EPISODES)):
            self._add_episode()
        self._add_work()
        now = 0.0
        for event in sorted(self.events, key=lambda one: one.at):
            if event.at > now:
                self.schedule.lines.append(f"wait {event.at - now:.3f}")
                now = event.at
            self.schedule.lines.append(event.line)
        self._add_end()
        return self.schedule

    def _process_names(self, kind: str, count: int) -> list[str]:
        return [f"{kind}-{number}" for number in range(1, count + 1)]

    def _add_event(self, at: float, line: str) -> None:
        self.events.append(Event(at, line))

    def _add_episode(self) -> None:
        kind = self.rng.choice(list(FaultKind))
        self.schedule.kinds.add(kind)
        begin = self.rng.uniform(0.3, CHAOS_SECONDS - 2)
        end = min(begin + self.rng.uniform(0.3, 6.0), CHAOS_SECONDS)
        EPISODES[kind](self, begin, end)

    def kill_entry(self, begin: float, end: float) -> None:
        """Kill an entry and restart it."""
        self._add_fault_and_undo(
            self.rng.choice(self.entries), "kill", "start", begin, end
        )

    def kill_agent(self, begin: float, end: float) -> None:
        """Kill an agent and restart it."""
        self._add_fault_and_undo(
            self.rng.choice(self.agents), "kill", "start", begin, end
        )

    def kill_entries(self, begin: float, end: float) -> None:
        """Kill all entries and restart them."""
        for name in self.entries:
            self._add_fault_and_undo(name, "kill", "start", begin, end)

    def freeze_entry(self, begin: float, end: float) -> None:
        """Pause an entry."""
        self._add_fault_and_undo(
            self.rng.choice(self.entries), "freeze", "thaw", begin, end
        )

    def freeze_agent(self, begin: float, end: float) -> None:
        """Pause an agent."""
        self._add_fault_and_undo(
            self.rng.choice(self.agents), "freeze", "thaw", begin, end
        )

    def stop_entry(self, begin: float, end: float) -> None:
        """Stop an entry as planned and restart it."""
        self._add_fault_and_undo(
            self.rng.choice(self.entries), "stop", "start", begin, end
        )

    def stop_agent(self, begin: float, end: float) -> None:
        """Stop an agent as planned and restart it."""
        self._add_fault_and_undo(
            self.rng.choice(self.agents), "stop", "start", begin, end
        )

    def cut(self, begin: float, end: float) -> None:
        """Cut links in one direction or both."""
        for _ in range(self.rng.randint(1, 3)):
            one = self.rng.choice(self.entries)
            other = self.rng.choice([n for n in self._all_processes() if n != one])
            one_way = self.rng.choice([f"{one} -> {other}", f"{other} -> {one}"])
            self._add_event(
                begin, "cut " + self.rng.choice([one_way, f"{one} {other}"])
            )
        self._add_event(end, "heal")

    def cut_from_store(self, begin: float, end: float) -> None:
        """Cut an entry off from the store."""
        self._add_event(begin, f"cut {self.rng.choice(self.entries)} from store")
        self._add_event(end, "heal")

    def outage(self, begin: float, end: float) -> None:
        """Make the store unavailable."""
        self._add_event(begin, "outage")
        self._add_event(end, "heal store")

    def slow_store(self, begin: float, end: float) -> None:
        """Delay each call to the store."""
        self._add_event(begin, f"slow store {self.rng.choice([0.1, 0.4, 0.8, 1.5])}")
        self._add_event(end, "heal store")

    def lost_answers(self, begin: float, end: float) -> None:
        """Lose answers of the store."""
        count = self.rng.randint(1, 10)
        self._add_event(
            begin, self.rng.choice(["lose answers", f"lose {count} answers"])
        )
        self._add_event(end, "heal store")

    def lost_calls(self, begin: float, end: float) -> None:
        """Lose calls to the store."""
        self._add_event(begin, f"lose calls {self.rng.choice([0.2, 0.5])}")
        self._add_event(end, "heal store")

    def network(self, begin: float, end: float) -> None:
        """Lose, duplicate and reorder messages."""
        loss = self.rng.choice([0.0, 0.02, 0.1, 0.3])
        duplicate = self.rng.choice([0.0, 0.1, 0.3])
        reorder = self.rng.choice([0.0, 0.02, 0.5])
        line = f"network loss {loss} duplicate {duplicate} reorder {reorder}"
        self._add_event(begin, line)
        self._add_event(end, "network")

    def trap(self, begin: float, end: float) -> None:
        """Kill or pause an entry when it sends a message."""
        name = self.rng.choice(self.entries)
        message = self.rng.choice(TRAPPED_MESSAGES)
        when = self.rng.choice(["before", "after"])
        fault, undo = self.rng.choice([("kill", "start"), ("freeze", "thaw")])
        self._add_event(begin, f"{when} {name} sends {message}: {fault} {name}")
        self._add_event(end, "disarm")
        self._add_event(end, f"{undo} {name}")

    def upstream(self, begin: float, end: float) -> None:
        """Make an upstream slow or failing."""
        name = self.rng.choice(self.agents)
        self._add_event(begin, self.rng.choice([f"slow {name} 10", f"fail {name}"]))
        self._add_event(end, f"mend {name}")

    def late_start(self, begin: float, end: float) -> None:
        """Pause an entry between its check and its send; resubmit elsewhere."""
        # The pause is long enough for other entries to take over and to prove that no
        # task started.
        begin = self.rng.uniform(0.3, 1.0)
        end = self.rng.uniform(CHAOS_SECONDS - 1, CHAOS_SECONDS)
        name = self.rng.choice(self.entries)
        self._add_event(begin, f"before {name} sends Start: freeze {name}")
        if self.rng.random() < 0.5:
            # Only few agents are notified of a takeover, so the late start may reach an
            # agent that does not know of it.
            for agent in self.agents[1:]:
                for other in self.entries:
                    if other != name:
                        self._add_event(begin, f"cut {other} {agent}")
                        self._add_event(begin + 0.4, f"cut {other} {agent}")
        self._submit_again(name, begin)
        self._add_event(end, "heal")
        self._add_event(end, "disarm")
        self._add_event(end, f"thaw {name}")

    def late_claim(self, begin: float, end: float) -> None:
        """Pause an entry before it claims or grants; resubmit elsewhere."""
        name = self.rng.choice(self.entries)
        message = self.rng.choice(["Claim", "Granted", "Finished", "Joined"])
        self._add_event(begin, f"before {name} sends {message}: freeze {name}")
        self._submit_again(self.rng.choice(self.entries), begin)
        self._add_event(end, "disarm")
        self._add_event(end, f"thaw {name}")

    def lost_claimant(self, begin: float, end: float) -> None:
        """Kill an entry before or after it sends a start; resubmit elsewhere."""
        name = self.rng.choice(self.entries)
        when = self.rng.choice(["before", "after"])
        self._add_event(begin, f"{when} {name} sends Start: kill {name}")
        self._submit_again(name, begin)
        self._add_event(end, "disarm")
        self._add_event(end, f"start {name}")

    def lost_pair(self, begin: float, end: float) -> None:
        """Kill an entry and agents while they run tasks; resubmit elsewhere."""
        name = self.rng.choice(self.entries)
        self._submit_again(name, begin)
        death = begin + self.rng.choice([0.005, 0.05, 0.3])
        self._add_fault_and_undo(name, "kill", "start", death, end)
        for agent in self.rng.sample(self.agents, self.rng.randint(1, 2)):
            self._add_fault_and_undo(
                agent, "kill", "start", death, death + self.rng.uniform(0.2, 2)
            )

    def _submit_again(self, name: str, begin: float) -> None:
        """Submit through an entry, and resubmit through random entries later."""
        self.targeted_count += 1
        task = f"t{self.targeted_count}"
        kind = self.rng.choice(["session", "session", "job of 3"])
        key = self.rng.choice(["uuid7", "handed-out", f"opaque of {name}"])
        hint = self.rng.choice([" idempotent", ""])
        submit = f"submit {task} {kind} via {name} key {key} run 0.3 timeout 20{hint}"
        self._add_event(begin, submit)
        for _ in range(self.rng.randint(1, 4)):
            at = begin + self.rng.uniform(0.1, 7)
            via = self.rng.choice(self.entries)
            self._add_event(at, f"resubmit {task} via {via}")

    def _add_fault_and_undo(
        self, name: str, fault: str, undo: str, begin: float, end: float
    ) -> None:
        self._add_event(begin, f"{fault} {name}")
        self._add_event(end, f"{undo} {name}")

    def _all_processes(self) -> list[str]:
        return self.entries + self.agents

    def _add_work(self) -> None:
        at = 0.0
        number = 0
        while at < CHAOS_SECONDS:
            number += 1
            self._add_submission(f"w{number}", at)
            at += self.rng.expovariate(1 / MEAN_SUBMIT_INTERVAL_SECONDS)

    def _add_submission(self, name: str, at: float) -> None:
        rng = self.rng
        job = rng.random() < JOB_SHARE
        kind = f"job of {rng.randint(2, 6)}" if job else "session"
        key = rng.choice(KEY_CHOICES[:-1] if job else KEY_CHOICES)
        owner = f" of {rng.choice(self.entries)}" if key == "handed-out" else ""
        line = (
            f"submit {name} {kind} via {rng.choice(self.entries)} key {key}{owner}"
            f" run {rng.choice([0.02, 0.1, 0.3, 0.8])}"
            f" timeout {rng.choice([1.5, 6, 15])}"
        )
        if rng.random() < 0.4:
            line += " idempotent"
        self._add_event(at, line)
        if rng.random() < 0.1:
            self._add_event(at + rng.uniform(0.01, 1), f"disconnect {name}")
        if job and rng.random() < 0.15:
            self._add_event(
                at + rng.uniform(0.05, 1), f"cancel {name} via {self.entries[0]}"
            )
        if key == "none":
            return
        while rng.random() < RESUBMIT_PROBABILITY:
            resubmit_at = at + rng.choice([rng.uniform(0, 0.3), rng.uniform(0.3, 7)])
            via = rng.choice(self.entries)
            self._add_event(
                min(resubmit_at, CHAOS_SECONDS), f"resubmit {name} via {via}"
            )

    def _add_end(self) -> None:
        """Clear all faults, then expect that each entry serves a request."""
        lines = self.schedule.lines
        lines += ["network", "heal", "heal store"]
        lines += [f"thaw {name}" for name in self._all_processes()]
        lines += [f"mend {name}" for name in self.agents]
        lines.append(f"wait {RECOVERY_SECONDS}")
        for entry in self.entries:
            lines.append(
                f"submit {FINAL_PREFIX}{entry} session via {entry} key uuid7 timeout 5"
            )
        lines += [f"expect {FINAL_PREFIX}{entry} is done" for entry in self.entries]


EPISODES: dict[FaultKind, Callable[[ScheduleMaker, float, float], None]] = {
    FaultKind.KILL_ENTRY: ScheduleMaker.kill_entry,
    FaultKind.KILL_AGENT: ScheduleMaker.kill_agent,
    FaultKind.KILL_ENTRIES: ScheduleMaker.kill_entries,
    FaultKind.FREEZE_ENTRY: ScheduleMaker.freeze_entry,
    FaultKind.FREEZE_AGENT: ScheduleMaker.freeze_agent,
    FaultKind.STOP_ENTRY: ScheduleMaker.stop_entry,
    FaultKind.STOP_AGENT: ScheduleMaker.stop_agent,
    FaultKind.CUT: ScheduleMaker.cut,
    FaultKind.CUT_FROM_STORE: ScheduleMaker.cut_from_store,
    FaultKind.OUTAGE: ScheduleMaker.outage,
    FaultKind.SLOW_STORE: ScheduleMaker.slow_store,
    FaultKind.LOST_ANSWERS: ScheduleMaker.lost_answers,
    FaultKind.LOST_CALLS: ScheduleMaker.lost_calls,
    FaultKind.NETWORK: ScheduleMaker.network,
    FaultKind.TRAP: ScheduleMaker.trap,
    FaultKind.UPSTREAM: ScheduleMaker.upstream,
    FaultKind.LATE_START: ScheduleMaker.late_start,
    FaultKind.LATE_CLAIM: ScheduleMaker.late_claim,
    FaultKind.LOST_CLAIMANT: ScheduleMaker.lost_claimant,
    FaultKind.LOST_PAIR: ScheduleMaker.lost_pair,
}


def make_schedule(seed: int) -> Schedule:
    """Generate the schedule of a seed."""
    return ScheduleMaker(seed).make()
