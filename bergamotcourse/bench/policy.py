"""Benchmarks the routing policy under load and faults, on a virtual clock.

``python -m bergamotcourse.bench.policy`` takes a few seconds and prints one line per
run. ``--full`` takes a few minutes; it performs all runs of the page
docs/benchmarks/policy.md and writes the page and its plot. Entries and agents run
unchanged. The network, the platform, the upstreams and the time are virtual, so the
same seed gives the same figures on any machine.
"""

import logging
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from bergamotcourse.bench.policy_figures import Figures
from bergamotcourse.bench.policy_report import ABLATION_FIGURES, write_report
from bergamotcourse.bench.policy_run import Run, measure
from bergamotcourse.bench.policy_scenarios import PRESETS, SCENARIOS
from bergamotcourse.bench.policy_tables import Results
from bergamotcourse.bench.policy_variants import ABLATIONS, BASELINES, OURS, VARIANTS

QUICK_SCENARIOS = ("steady", "straggler", "black hole", "job alone", "over quota")
QUICK_LOADS = (0.8,)
QUICK_SECONDS = 10.0
COMPARED_VARIANTS = ("two choices", "ours")


def quick_runs(seeds: int, seconds: float) -> Iterator[Run]:
    """Return a small selection of the most informative runs."""
    for preset in PRESETS:
        for scenario in QUICK_SCENARIOS:
            for seed in range(1, seeds + 1):
                load = SCENARIOS[scenario].loads[0]
                load = QUICK_LOADS[0] if scenario == "steady" else load
                yield Run(preset, "ours", scenario, load, seed, seconds)


def full_runs(seeds: int, seconds: float) -> Iterator[Run]:
    """Return all runs that the benchmark page shows."""
    plans = [
        (preset, variant.name, "steady", load)
        for preset in PRESETS
        for load in SCENARIOS["steady"].loads
        for variant in [*BASELINES, OURS]
    ]
    plans += [
        (preset, variant, scenario.name, load)
        for preset in PRESETS
        for scenario in SCENARIOS.values()
        for load in scenario.loads
        for variant in COMPARED_VARIANTS
        if scenario.name != "steady"
    ]
    plans += [
        ("urnalia", variant.name, scenario, load)
        for variant in ABLATIONS
        for scenario, load in dict.fromkeys(
            (name, load) for name, load, _ in ABLATION_FIGURES
        )
    ]
    for plan in plans:
        for seed in range(1, seeds + 1):
            yield Run(*plan, seed, seconds)


def chosen_runs(
    presets: str, variants: str, scenarios: str, loads: str, seeds: int, seconds: float
) -> Iterator[Run]:
    """Return the runs selected by the command-line options."""
    for preset in _parse_names(presets, PRESETS):
        for name in _parse_names(scenarios, SCENARIOS):
            of_scenario = SCENARIOS[name].loads
            for load in [float(x) for x in loads.split(",")] if loads else of_scenario:
                for variant in _parse_names(variants, VARIANTS):
                    for seed in range(1, seeds + 1):
                        yield Run(preset, variant, name, load, seed, seconds)


def _parse_names(option: str, known) -> list[str]:
    """Return the names in a comma-separated option, or all known names if empty."""
    names = option.split(",") if option else list(known)
    for name in names:
        if name not in known:
            raise click.BadParameter(f"{name!r} is none of {', '.join(known)}")
    return names


def format_run(run: Run, got: Figures) -> str:
    """Format the figures of one run as one line."""
    kinds = " ".join(f"{k}={v:.3f}" for k, v in got.messages.items())
    extra = " ".join(f"{k}={v:.3f}" for k, v in got.extra.items() if v)
    teams = " ".join(
        f"{t}={p99:.2f}@{got.team_done[t]:.0f}/s" for t, p99 in got.team_p99.items()
    )
    return (
        f"{run.preset:10} {run.variant:12} {run.scenario:15} {run.load:4} {run.seed:2}"
        f" mean {got.mean:6.3f} p50 {got.p50:6.3f} p99 {got.p99:7.3f}"
        f" done {got.goodput:6.1f} not_run {got.refused:.4f} bad {got.broken:.4f}"
        f" messages {got.all_messages:6.3f} envelopes {got.envelopes:6.3f}"
        f" platform {got.platform_calls:.3f} | {kinds} | {extra} | {teams}"
    )


def measure_all(runs: list[Run], processes: int) -> Results:
    """Perform all runs, print one line per run, and return the figures."""
    figures = {}
    with ProcessPoolExecutor(processes, initializer=_disable_warnings) as pool:
        for run, got in zip(runs, pool.map(measure, runs), strict=True):
            figures[run] = got
            click.echo(format_run(run, got))
    return Results(figures)


def _disable_warnings() -> None:
    logging.disable(logging.WARNING)


@click.command()
@click.option("--full", is_flag=True, help="Run all of the page and write it.")
@click.option("--presets", default="", help="Comma-separated.")
@click.option("--variants", default="", help="Comma-separated.")
@click.option("--scenarios", default="", help="Comma-separated.")
@click.option("--loads", default="", help="Comma-separated; else each scenario's own.")
@click.option("--seeds", default=0, help="How many; 1, or 3 in full.")
@click.option("--seconds", default=0.0, help="Measured time; 10, or 20 in full.")
@click.option("--processes", default=4, show_default=True)
@click.option("--folder", default="docs/benchmarks", show_default=True)
def main(
    full, presets, variants, scenarios, loads, seeds, seconds, processes, folder
) -> None:
    """Measure the policy under load and faults."""
    seeds = seeds or (3 if full else 1)
    seconds = seconds or (20.0 if full else QUICK_SECONDS)
    if full:
        results = measure_all(list(full_runs(seeds, seconds)), processes)
        command = "python -m bergamotcourse.bench.policy --full"
        write_report(results, Path(folder), command, seeds, seconds)
    elif presets or variants or scenarios or loads:
        options = (presets, variants, scenarios, loads)
        measure_all(list(chosen_runs(*options, seeds, seconds)), processes)
    else:
        measure_all(list(quick_runs(seeds, seconds)), processes)


if __name__ == "__main__":
    main()
