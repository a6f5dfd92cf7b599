"""Measure how long an accepted configuration takes to be in force at every entry.

Run as ``python -m bergamotcourse.bench.configuration``. A virtual fleet receives
many configuration changes, and one or two faults are injected during each. Times are
on the virtual clock.
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

IN_FORCE_LIMIT_SECONDS = 4.0
WAIT_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.01
AGENT_COUNT = 2
"""Few suffice, because agents do not follow the configuration."""


class Fault(Enum):
    """A fault injected during a configuration change.

    Attributes:
        STORE_DOWN_AT_ACCEPT: The platform becomes unavailable right after the accept.
        STORE_DOWN_SOON_AFTER: The platform becomes unavailable up to 1.5 s after the
            accept.
        OPERATOR_CANNOT_REACH_ENTRIES: The operator's machine cannot reach the entries.
        ANSWER_LOST: The platform's answer to the accept is lost.
        TWO_OPERATORS: Another operator concurrently proposes a change on the same
            base version.
        ENTRY_KILLED: An entry is killed, and restarted a second later.
        ENTRY_CUT_FROM_STORE: An entry cannot reach the platform.
        STORE_DOWN_AND_LINK_CUT: As ``STORE_DOWN_AT_ACCEPT``, and two entries cannot
            reach each other.
        MESSAGE_LOSS: A fifth of the messages between processes is lost.
        SLOW_STORE: Each call to the platform takes 0.8 s.
        TWO_FAULTS: Two of the other faults at once; used only to group the figures.
    """

    NONE = "none"
    STORE_DOWN_AT_ACCEPT = "store goes at the accept"
    STORE_DOWN_SOON_AFTER = "store goes soon after"
    OPERATOR_CANNOT_REACH_ENTRIES = "operator cannot tell"
    ANSWER_LOST = "answer lost"
    TWO_OPERATORS = "two operators race"
    ENTRY_KILLED = "entry killed"
    ENTRY_CUT_FROM_STORE = "entry cut from store"
    STORE_DOWN_AND_LINK_CUT = "store goes, link cut"
    MESSAGE_LOSS = "a fifth of messages lost"
    SLOW_STORE = "slow store"
    TWO_FAULTS = "two of these"


SINGLE_FAULTS = [fault for fault in Fault if fault is not Fault.TWO_FAULTS]
STORE_DOWN_FAULTS = {
    Fault.STORE_DOWN_AT_ACCEPT,
    Fault.STORE_DOWN_SOON_AFTER,
    Fault.STORE_DOWN_AND_LINK_CUT,
}
TWO_FAULTS_PROBABILITY = 0.3


def draw_faults(rng: random.Random) -> set[Fault]:
    """Return one fault or two at random.

    Pairs are excluded in which the operator cannot reach the entries and the platform
    becomes unavailable: no process may have learned the new version by then, so it
    would not be in force anywhere until the platform is back.
    """
    faults = set(
        rng.sample(SINGLE_FAULTS, 2 if rng.random() < TWO_FAULTS_PROBABILITY else 1)
    )
    if Fault.OPERATOR_CANNOT_REACH_ENTRIES in faults and faults & STORE_DOWN_FAULTS:
        faults.discard(Fault.OPERATOR_CANNOT_REACH_ENTRIES)
    return faults


@dataclass
class Figures:
    """Results of the runs.

    Attributes:
        seconds: Time from the accept until the version is in force everywhere, by
            fault.
        late: Descriptions of the changes that took longer than the limit.
        reverts: How often an entry reported a version in force that was not newer than
            its previous one.
        in_doubt: Changes whose accept returned an error or did not apply.
    """

    seconds: dict[Fault, list[float]] = field(default_factory=lambda: defaultdict(list))
    late: list[str] = field(default_factory=list)
    reverts: int = 0
    in_doubt: int = 0


class ConfigChangeRun:
    """Makes configuration changes to one virtual fleet, with faults."""

    def __init__(self, fleet: VirtualFleet, seed: int, figures: Figures):
        self.fleet = fleet
        self.seed = seed
        self.rng = random.Random(seed)
        self.figures = figures
        self.version = ConfigVersion(1)

    async def run(self, count: int) -> None:
        """Make ``count`` changes one after another."""
        for name in self.fleet.entries:
            self._count_version_decreases(name)
        for number in range(count):
            await self._make_change(number, draw_faults(self.rng))
            self._clear_faults()
            await self._wait_all_ready()
            await trio.sleep(self.rng.uniform(0.1, 3.0))

    def _count_version_decreases(self, name: str) -> None:
        """Count the version reverts of an entry."""
        seen: list[ConfigVersion] = []

        def note(version: ConfigVersion, _manifest: object) -> None:
            self.figures.reverts += bool(seen and version <= seen[-1])
            seen.append(version)

        self.fleet.entries[name].entry.config.subscribe(note)

    async def _make_change(self, number: int, faults: set[Fault]) -> None:
        operator = self.fleet.platform.view("operator")
        rows = (await read_lease_rows(operator)).default_value([])
        entries = (
            []
            if Fault.OPERATOR_CANNOT_REACH_ENTRIES in faults
            else [row.address for row in rows]
        )
        for fault in faults:
            self._inject_at_accept(fault)
        accepted = await self._accept(number, faults)
        if accepted.is_error() or not isinstance(accepted.ok, Applied):
            self.figures.in_doubt += 1
            await self._resolve_unknown_accept()
            return
        began = trio.current_time()
        self.version = accepted.ok.version
        async with trio.open_nursery() as nursery:
            for fault in faults:
                nursery.start_soon(self._inject_after_accept, fault)
            nursery.start_soon(self._announce, entries, accepted.ok)
            await self._wait_in_force_everywhere(began + WAIT_TIMEOUT_SECONDS)
            took = trio.current_time() - began
            nursery.cancel_scope.cancel()
        fault = (
            Fault.TWO_FAULTS if len(faults) > 1 else min(faults, key=lambda f: f.value)
        )
        self.figures.seconds[fault].append(took)
        if took > IN_FORCE_LIMIT_SECONDS:
            names = ", ".join(sorted(one.value for one in faults))
            late = f"seed {self.seed} change {number}: {names}: {took:.3f} s"
            self.figures.late.append(late)

    def _inject_at_accept(self, fault: Fault) -> None:
        faults = self.fleet.platform.faults
        match fault:
            case Fault.ANSWER_LOST:
                faults.lose_next_answers = 1
            case Fault.ENTRY_CUT_FROM_STORE:
                self.fleet.platform.cut_off([self.rng.choice(list(self.fleet.entries))])
            case Fault.MESSAGE_LOSS:
                self.fleet.network.loss = 0.2
            case Fault.SLOW_STORE:
                faults.delay = 0.8
            case Fault.STORE_DOWN_AND_LINK_CUT:
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
                if faults & {Fault.STORE_DOWN_AT_ACCEPT, Fault.STORE_DOWN_AND_LINK_CUT}:
                    self.fleet.platform.faults.down = True
            else:
                results.append(result)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(propose, "operator")
            if Fault.TWO_OPERATORS in faults:
                nursery.start_soon(propose, "other")
        return results[0]

    async def _announce(self, entries: list[LinkAddress], applied: Applied) -> None:
        link = self.fleet.network.link(LinkAddress("tcp://operator"))
        await announce(link, self.fleet.platform.view("op"), entries, applied.accepted)

    async def _inject_after_accept(self, fault: Fault) -> None:
        """Inject or end the faults that are timed after the accept."""
        match fault:
            case Fault.STORE_DOWN_SOON_AFTER:
                await trio.sleep(self.rng.uniform(0, 1.5))
                self.fleet.platform.faults.down = True
            case Fault.ENTRY_KILLED:
                await trio.sleep(1.0)
                self._restart_killed()

    async def _wait_in_force_everywhere(self, deadline: float) -> None:
        while trio.current_time() < deadline:
            if all(v >= self.version for v in self._serving_versions()):
                return
            await trio.sleep(POLL_INTERVAL_SECONDS)

    def _serving_versions(self) -> list[ConfigVersion]:
        return [
            process.entry.config.version
            for process in self.fleet.entries.values()
            if not process.scope.cancel_called and process.entry.config.ready
        ]

    async def _resolve_unknown_accept(self) -> None:
        """Clear the faults and read the current version after an accept in doubt."""
        self._clear_faults()
        head = await read_head_row(self.fleet.platform.view("operator"))
        self.version = head.ok[1].version
        await self._wait_in_force_everywhere(trio.current_time() + WAIT_TIMEOUT_SECONDS)

    def _clear_faults(self) -> None:
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
                self._count_version_decreases(name)

    async def _wait_all_ready(self) -> None:
        for name in self.fleet.entries:
            await self.fleet.wait_ready(name)


def run_changes(seed: int, count: int, entries: int, figures: Figures) -> None:
    """Make changes to one virtual fleet and add the results to the figures."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            shape = FleetShape(entries=entries, agents=AGENT_COUNT)
            fleet = VirtualFleet(nursery, seed, shape)
            await fleet.start()
            await ConfigChangeRun(fleet, seed, figures).run(count)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)


def print_figures(figures: Figures, echo: Callable[[str], None] = click.echo) -> None:
    """Print the distribution of the times by fault, in seconds."""
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
        f"changes {total}, in doubt {figures.in_doubt},"
        f" over {IN_FORCE_LIMIT_SECONDS:g} s {len(figures.late)},"
        f" reverts {figures.reverts}"
    )
    for late in figures.late:
        echo(f"late: {late}")


@click.command()
@click.option("--seeds", default=10)
@click.option("--changes", default=40, help="Changes for each seed.")
@click.option("--entries", default=3)
def main(seeds: int, changes: int, entries: int) -> None:
    """Measure the time until a change is in force everywhere."""
    figures = Figures()
    for seed in range(seeds):
        run_changes(seed, changes, entries, figures)
    print_figures(figures)


if __name__ == "__main__":
    main()
