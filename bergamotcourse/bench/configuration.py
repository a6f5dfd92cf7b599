"""Measure how long an accepted configuration takes to be in force everywhere.

Run as ``python -m bergamotcourse.bench.configuration``. A virtual fleet takes many
changes, each with a fault beside it. Times are on the virtual clock.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

import click
import trio
from expression import Result

from bergamotcourse.coordination.config_announce import announce
from bergamotcourse.coordination.config_rows import read_head_row
from bergamotcourse.coordination.config_store import Applied, ApplyOutcome, apply
from bergamotcourse.coordination.in_force import read_lease_rows
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet, default_manifest

LIMIT_SECONDS = 4.0
PATIENCE_SECONDS = 20.0
CHECK_SECONDS = 0.01
AGENTS = 2
"""Agents follow no configuration, so few do."""


class Fault(Enum):
    """What happens beside a change.

    Attributes:
        STORE_GOES: The platform goes away right after the accept.
        STORE_WENT: It goes away up to 1.5 s after the accept.
        UNTOLD: The operator's machine cannot reach the entries.
        ANSWER_LOST: The platform's answer to the accept is lost.
        RACE: Another operator changes the same version.
        ENTRY_KILLED: An entry is killed, and started anew a second later.
        ENTRY_CUT: An entry does not reach the platform.
        STORE_GOES_AND_CUT: As ``STORE_GOES``, and two entries do not reach each other.
        LOSSY: A fifth of the messages is lost.
        SLOW: Each call to the platform takes 0.8 s.
        TWO: Two of these at once.
    """

    NONE = "none"
    STORE_GOES = "store goes at the accept"
    STORE_WENT = "store goes soon after"
    UNTOLD = "operator cannot tell"
    ANSWER_LOST = "answer lost"
    RACE = "two operators race"
    ENTRY_KILLED = "entry killed"
    ENTRY_CUT = "entry cut from store"
    STORE_GOES_AND_CUT = "store goes, link cut"
    LOSSY = "a fifth of messages lost"
    SLOW = "slow store"
    TWO = "two of these"


SINGLE = [fault for fault in Fault if fault is not Fault.TWO]
STORE_ENDS = {Fault.STORE_GOES, Fault.STORE_WENT, Fault.STORE_GOES_AND_CUT}
TWO_SHARE = 0.3


def draw_faults(rng: random.Random) -> set[Fault]:
    """Return one fault or two.

    A version of which no process was told before the platform went away is in force
    nowhere until it is back: such pairs are left out.
    """
    faults = set(rng.sample(SINGLE, 2 if rng.random() < TWO_SHARE else 1))
    if Fault.UNTOLD in faults and faults & STORE_ENDS:
        faults.discard(Fault.UNTOLD)
    return faults


@dataclass
class Figures:
    """What the runs gave.

    Attributes:
        seconds: From the accept to in force everywhere, by fault.
        late: Changes over the limit.
        reverts: Times that the version of a process fell.
        in_doubt: Changes whose operator was told no result.
    """

    seconds: dict[Fault, list[float]] = field(default_factory=lambda: defaultdict(list))
    late: list[str] = field(default_factory=list)
    reverts: int = 0
    in_doubt: int = 0


class Changes:
    """One virtual fleet that takes changes."""

    def __init__(self, fleet: VirtualFleet, seed: int, figures: Figures):
        self.fleet = fleet
        self.seed = seed
        self.rng = random.Random(seed)
        self.figures = figures
        self.version = ConfigVersion(1)

    async def run(self, count: int) -> None:
        """Make so many changes."""
        for name in self.fleet.entries:
            self._watch(name)
        for number in range(count):
            await self._change(number, draw_faults(self.rng))
            self._heal()
            await self._all_ready()
            await trio.sleep(self.rng.uniform(0.1, 3.0))

    def _watch(self, name: str) -> None:
        """Count the reverts of a process."""
        seen: list[ConfigVersion] = []

        def note(version: ConfigVersion, _manifest: object) -> None:
            self.figures.reverts += bool(seen and version <= seen[-1])
            seen.append(version)

        self.fleet.entries[name].entry.config.subscribe(note)

    async def _change(self, number: int, faults: set[Fault]) -> None:
        operator = self.fleet.platform.view("operator")
        rows = (await read_lease_rows(operator)).default_value([])
        entries = [] if Fault.UNTOLD in faults else [row.address for row in rows]
        for fault in faults:
            self._begin(fault)
        accepted = await self._accept(number, faults)
        if accepted.is_error() or not isinstance(accepted.ok, Applied):
            self.figures.in_doubt += 1
            await self._catch_up()
            return
        began = trio.current_time()
        self.version = accepted.ok.version
        async with trio.open_nursery() as nursery:
            for fault in faults:
                nursery.start_soon(self._follow, fault)
            nursery.start_soon(self._announce, entries, accepted.ok)
            await self._wait_everywhere(began + PATIENCE_SECONDS)
            took = trio.current_time() - began
            nursery.cancel_scope.cancel()
        fault = Fault.TWO if len(faults) > 1 else min(faults, key=lambda f: f.value)
        self.figures.seconds[fault].append(took)
        if took > LIMIT_SECONDS:
            names = ", ".join(sorted(one.value for one in faults))
            late = f"seed {self.seed} change {number}: {names}: {took:.3f} s"
            self.figures.late.append(late)

    def _begin(self, fault: Fault) -> None:
        faults = self.fleet.platform.faults
        match fault:
            case Fault.ANSWER_LOST:
                faults.lose_next_answers = 1
            case Fault.ENTRY_CUT:
                self.fleet.platform.cut_off([self.rng.choice(list(self.fleet.entries))])
            case Fault.LOSSY:
                self.fleet.network.loss = 0.2
            case Fault.SLOW:
                faults.delay = 0.8
            case Fault.STORE_GOES_AND_CUT:
                one, other = self.rng.sample(sorted(self.fleet.entries), 2)
                addresses = [LinkAddress(f"tcp://{name}") for name in (one, other)]
                self.fleet.network.cut(*addresses)
                self.fleet.network.cut(*reversed(addresses))
            case Fault.ENTRY_KILLED:
                self.fleet.entries[self.rng.choice(list(self.fleet.entries))].kill()

    async def _accept(
        self, number: int, faults: set[Fault]
    ) -> Result[ApplyOutcome, StepError]:
        results: list[Result[ApplyOutcome, StepError]] = []

        async def propose(name: str) -> None:
            platform = self.fleet.platform.view(name)
            manifest = replace(default_manifest(), release=f"{name}-{number}")
            result = await apply(platform, manifest, self.version, name, "bench")
            if result.is_ok() and isinstance(result.ok, Applied):
                results.insert(0, result)
                if faults & {Fault.STORE_GOES, Fault.STORE_GOES_AND_CUT}:
                    self.fleet.platform.faults.down = True
            else:
                results.append(result)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(propose, "operator")
            if Fault.RACE in faults:
                nursery.start_soon(propose, "other")
        return results[0]

    async def _announce(self, entries: list[LinkAddress], applied: Applied) -> None:
        link = self.fleet.network.link(LinkAddress("tcp://operator"))
        await announce(link, self.fleet.platform.view("op"), entries, applied.accepted)

    async def _follow(self, fault: Fault) -> None:
        """Let happen what comes after the accept."""
        match fault:
            case Fault.STORE_WENT:
                await trio.sleep(self.rng.uniform(0, 1.5))
                self.fleet.platform.faults.down = True
            case Fault.ENTRY_KILLED:
                await trio.sleep(1.0)
                self._restart_killed()

    async def _wait_everywhere(self, deadline: float) -> None:
        while trio.current_time() < deadline:
            if all(v >= self.version for v in self._serving_versions()):
                return
            await trio.sleep(CHECK_SECONDS)

    def _serving_versions(self) -> list[ConfigVersion]:
        return [
            process.entry.config.version
            for process in self.fleet.entries.values()
            if not process.scope.cancel_called and process.entry.config.ready
        ]

    async def _catch_up(self) -> None:
        """Find out what became of a change whose operator does not know."""
        self._heal()
        head = await read_head_row(self.fleet.platform.view("operator"))
        self.version = head.ok[1].version
        await self._wait_everywhere(trio.current_time() + PATIENCE_SECONDS)

    def _heal(self) -> None:
        faults = self.fleet.platform.faults
        faults.down, faults.delay, faults.lose_next_answers = False, 0.0, 0
        self.fleet.platform.cut_off([])
        self.fleet.network.loss = 0.0
        self.fleet.network.cut_pairs.clear()
        self._restart_killed()

    def _restart_killed(self) -> None:
        for name, process in list(self.fleet.entries.items()):
            if process.scope.cancel_called:
                self.fleet.start_entry(name)
                self._watch(name)

    async def _all_ready(self) -> None:
        for name in self.fleet.entries:
            await self.fleet.wait_ready(name)


def run_changes(seed: int, count: int, entries: int, figures: Figures) -> None:
    """Make changes to one virtual fleet and add to the figures."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            shape = FleetShape(entries=entries, agents=AGENTS)
            fleet = VirtualFleet(nursery, seed, shape)
            await fleet.start()
            await Changes(fleet, seed, figures).run(count)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)


def print_figures(figures: Figures, echo: Callable[[str], None] = click.echo) -> None:
    """Print the distribution by fault, in seconds."""
    echo(f"{'fault':26} {'changes':>7} {'median':>7} {'p99':>7} {'max':>7}")
    for fault in Fault:
        times = sorted(figures.seconds[fault])
        if times:
            middle, high = times[len(times) // 2], times[int(0.99 * len(times))]
            echo(
                f"{fault.value:26} {len(times):7} {middle:7.3f} {high:7.3f}"
                f" {times[-1]:7.3f}"
            )
    total = sum(map(len, figures.seconds.values()))
    echo(
        f"changes {total}, in doubt {figures.in_doubt}, over {LIMIT_SECONDS:g} s"
        f" {len(figures.late)}, reverts {figures.reverts}"
    )
    for late in figures.late:
        echo(f"late: {late}")


@click.command()
@click.option("--seeds", default=10)
@click.option("--changes", default=40, help="Changes for each seed.")
@click.option("--entries", default=3)
def main(seeds: int, changes: int, entries: int) -> None:
    """Measure the time to in force everywhere."""
    figures = Figures()
    for seed in range(seeds):
        run_changes(seed, changes, entries, figures)
    print_figures(figures)


if __name__ == "__main__":
    main()
