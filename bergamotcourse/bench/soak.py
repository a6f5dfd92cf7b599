"""Soak test: injects random faults into real processes, then checks the records.

Callers submit keyed requests, and resubmit some of them through other entries, while
processes are killed, paused and stopped and the platform fails. At the end the starts
that the stand-ins of the upstreams recorded are compared with the outcomes that the
callers received. ``--seconds`` limits the time in which faults are injected.
Run as ``python -m bergamotcourse.bench.soak``.
"""

import itertools
import json
import random
import signal
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import click
import msgspec
import trio
from expression import Result

from bergamotcourse.bench.launcher import SERVICE, Launcher, session_request
from bergamotcourse.state.keys import key_kind
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.transport.http_client import HttpClient

CALLERS = 12
CALL_TIMEOUT_SECONDS = 45.0
FAULT_INTERVAL_SECONDS = (2.0, 6.0)
RESTART_DELAY_SECONDS = 2.0
PAUSE_SECONDS = (0.5, 9.0)
STORE_FAULT_SECONDS = (2.0, 14.0)
RESUBMIT_PROBABILITY = 0.4
SETTLE_SECONDS = 25.0
OUTCOME_HEADER = "bergamotcourse-outcome"
PREFIX_HEADER = "idempotency-key-prefix"
LOST = "lost"
"""Outcome of a request without a response, for instance after a broken connection."""


@dataclass
class CallerAnswer:
    """The answer that a caller received to one copy of a submission.

    Attributes:
        at: Monotonic time of the answer, in seconds.
        fault: The fault in progress when the copy was submitted.
        key: The kind of the idempotency key.
    """

    outcome: str
    at: float
    fault: str
    key: str


@dataclass
class Soak:
    """State of one soak test.

    Attributes:
        answers: Answers to the copies of each task, in order of arrival.
        faults: Number of injected faults, by kind.
        current_fault: The fault in progress.
        prefixes: Key prefix last issued by each entry.
        last_done: Monotonic time of the last outcome ``done``, in seconds.
        longest_gap_seconds: Longest time without an outcome ``done``.
        longest_gap_fault: The fault in progress when the request that ended that gap
            was submitted.
    """

    launcher: Launcher
    rng: random.Random
    entries: list[str]
    agents: list[str]
    answers: dict[str, list[CallerAnswer]] = field(default_factory=dict)
    faults: Counter[str] = field(default_factory=Counter)
    current_fault: str = "none"
    prefixes: dict[str, str] = field(default_factory=dict)
    clients: dict[str, HttpClient] = field(default_factory=dict)
    stopping: bool = False
    last_done: float = field(default_factory=time.monotonic)
    longest_gap_seconds: float = 0.0
    longest_gap_fault: str = "none"

    async def submit_tasks(self, numbers: itertools.count) -> None:
        """Submit tasks in turn, some of them repeatedly, until the soak test stops."""
        while not self.stopping:
            task = f"task-{next(numbers)}"
            entry = self.rng.choice(self.entries)
            key = self._choose_key(task, entry)
            run_ms = self.rng.choice((20, 50, 100, 300, 1000))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._submit, task, key, run_ms, entry)
                while self.rng.random() < RESUBMIT_PROBABILITY:
                    await trio.sleep(self.rng.random())
                    other = self.rng.choice(self.entries)
                    nursery.start_soon(self._submit, task, key, run_ms, other)

    async def inject_faults(self, seconds: float) -> None:
        """Inject random faults one after another for ``seconds``."""
        deadline = time.monotonic() + seconds
        kinds = [self._kill, self._kill, self._pause, self._stop, self._fail_store]
        while time.monotonic() < deadline:
            await trio.sleep(self.rng.uniform(*FAULT_INTERVAL_SECONDS))
            await self.rng.choice(kinds)()
            self.current_fault = "none"

    def _choose_key(self, task: str, entry: str) -> str:
        prefix = self.prefixes.get(entry, "")
        kind = self.rng.randrange(3)
        if kind == 0 and prefix:
            return prefix + task
        if kind == 1:
            return str(_uuid7(self.rng))
        return f"opaque-{task}"

    async def _submit(self, task: str, key: str, run_ms: int, entry: str) -> None:
        request = session_request(task.encode(), key)
        request.target = f"/s/{SERVICE}/cast?run_ms={run_ms}"
        fault = self.current_fault
        client = self.clients.setdefault(entry, self.launcher.client(entry))
        outcome = LOST
        match await client.request(request, CALL_TIMEOUT_SECONDS):
            case Result(tag="ok", ok=response):
                headers = dict(response.headers)
                self.prefixes[entry] = headers.get(PREFIX_HEADER, "")
                outcome = headers.get(OUTCOME_HEADER, f"status {response.status}")
        now = time.monotonic()
        self.answers.setdefault(task, []).append(
            CallerAnswer(outcome, now, fault, type(key_kind(key)).__name__)
        )
        if outcome == "done":
            if now - self.last_done > self.longest_gap_seconds:
                self.longest_gap_seconds, self.longest_gap_fault = (
                    now - self.last_done,
                    fault,
                )
            self.last_done = now

    def _choose_process(self) -> str:
        return self.rng.choice([*self.entries, *self.agents])

    def _record_fault(self, kind: str, name: str) -> None:
        self.current_fault = f"{kind} {name.partition('-')[0]}"
        self.faults[self.current_fault] += 1

    async def _kill(self) -> None:
        name = self._choose_process()
        self._record_fault("kill", name)
        process = self.launcher.launched[name].process
        process.kill()
        process.wait()
        await trio.sleep(RESTART_DELAY_SECONDS)
        self._restart(name)

    async def _stop(self) -> None:
        name = self._choose_process()
        self._record_fault("stop", name)
        process = self.launcher.launched[name].process
        process.terminate()
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            while process.poll() is None:
                await trio.sleep(0.1)
        if process.poll() is None:
            process.kill()
            process.wait()
        self._restart(name)

    async def _pause(self) -> None:
        name = self._choose_process()
        self._record_fault("pause", name)
        process = self.launcher.launched[name].process
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(*PAUSE_SECONDS))
        process.send_signal(signal.SIGCONT)

    async def _fail_store(self) -> None:
        faults = self.rng.choice(
            ({"down": True}, {"lose_answers": True}, {"delay": 0.5})
        )
        [kind] = faults
        self.current_fault = f"store {kind}"
        self.faults[self.current_fault] += 1
        await self._set_store_faults(faults)
        await trio.sleep(self.rng.uniform(*STORE_FAULT_SECONDS))
        await self._set_store_faults(
            {"down": False, "lose_answers": False, "delay": 0.0}
        )

    async def _set_store_faults(self, faults: dict[str, object]) -> None:
        body = msgspec.json.encode(faults)
        request = HttpRequest("POST", "/standin/faults", [], body)
        result = await self.launcher.client("platform").request(request, 10.0)
        if result.is_error() or result.ok.status >= 300:
            raise RuntimeError(
                f"the platform stand-in did not accept the faults: {result}"
            )

    def _restart(self, name: str) -> None:
        former = self.launcher.launched[name]
        self.launcher._start(name, former.process.args, former.port)


def _uuid7(rng: random.Random) -> uuid.UUID:
    value = (int(time.time() * 1000) << 80) | rng.getrandbits(80)
    value = (value & ~(0xF << 76)) | (7 << 76)
    return uuid.UUID(int=(value & ~(0x3 << 62)) | (2 << 62))


async def read_starts(launcher: Launcher) -> Counter[str]:
    """Return the number of starts of each task that the upstreams recorded."""
    starts: Counter[str] = Counter()
    for upstream in launcher.processes_named("upstream"):
        client = launcher.client(upstream.name)
        result = await client.request(HttpRequest("GET", "/standin/record"), 10.0)
        starts.update(json.loads(result.ok.body)["starts"])
    return starts


def summarize(soak: Soak, starts: Counter[str]) -> dict[str, object]:
    """Compare the answers with the recorded starts and return the figures."""
    doubled = sorted(t for t in soak.answers if starts[t] > 1)
    lost = sorted(
        task
        for task, answers in soak.answers.items()
        if any(one.outcome == "done" for one in answers) and not starts[task]
    )
    false = sorted(
        task
        for task, answers in soak.answers.items()
        if starts[task] and all(one.outcome == "not_run" for one in answers)
    )
    outcomes = Counter(
        one.outcome for answers in soak.answers.values() for one in answers
    )
    unknown = Counter(
        one.fault
        for answers in soak.answers.values()
        for one in answers
        if one.outcome == "unknown"
    )
    by_key = Counter(
        one.key
        for answers in soak.answers.values()
        for one in answers
        if one.outcome == "unknown"
    )
    return {
        "requests": sum(outcomes.values()),
        "submissions": len(soak.answers),
        "starts": sum(starts[task] for task in soak.answers),
        "outcomes": dict(outcomes),
        "faults": dict(soak.faults),
        "doubled": doubled,
        "done but never started": lost,
        "falsely not run": false,
        "unknown by fault": dict(unknown),
        "unknown by kind of key": dict(by_key),
        "longest gap in service (s)": round(soak.longest_gap_seconds, 2),
        "during": soak.longest_gap_fault,
    }


async def run_soak(seconds: float, seed: int, entries: int, agents: int) -> dict:
    """Run a soak test and return its figures."""
    with Launcher.temporary() as launcher:
        await launcher.start_fleet(entries, agents)
        soak = Soak(
            launcher,
            random.Random(seed),
            [one.name for one in launcher.processes_named("entry")],
            [one.name for one in launcher.processes_named("agent")],
        )
        numbers = itertools.count()
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(soak.submit_tasks, numbers)
            await soak.inject_faults(seconds)
            await trio.sleep(SETTLE_SECONDS)
            soak.stopping = True
        return summarize(soak, await read_starts(launcher))


@click.command()
@click.option("--seconds", type=float, default=60.0, help="How long to inject faults.")
@click.option("--seed", type=int, default=1)
@click.option("--entries", type=int, default=3)
@click.option("--agents", type=int, default=5)
def main(seconds: float, seed: int, entries: int, agents: int) -> None:
    """Inject random faults into real processes and check the records."""
    figures = trio.run(run_soak, seconds, seed, entries, agents)
    click.echo(f"seed: {seed}, seconds of faults: {seconds}")
    for name, value in figures.items():
        click.echo(f"{name}: {value}")


if __name__ == "__main__":
    main()
