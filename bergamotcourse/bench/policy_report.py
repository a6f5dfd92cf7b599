"""Writes the page and the plot of the policy benchmark."""

from collections.abc import Iterable
from pathlib import Path

from bergamotcourse.bench.policy_figures import Figures
from bergamotcourse.bench.policy_scenarios import PRESETS, SCENARIOS
from bergamotcourse.bench.policy_tables import (
    FLOW_COLUMNS,
    RESPONSE_COLUMNS,
    TRAFFIC_COLUMNS,
    Column,
    Results,
    ablation_table,
    extra_table,
    fault_table,
    format_markdown_table,
    format_spread,
    kinds_table,
    steady_table,
    team_table,
)
from bergamotcourse.bench.policy_variants import ABLATIONS, BASELINES, OURS

PAGE_NAME = "policy.md"
PLOT_NAME = "policy.png"
STEADY_LOADS = SCENARIOS["steady"].loads
FAULT_SCENARIOS = [
    (one.name, load)
    for one in SCENARIOS.values()
    for load in one.loads
    if one.name not in ("steady", "job alone", "within quota", "over quota", "unfair")
]
EXTRA_FIGURES = [
    ("black hole", 0.8, "broken after 1 s"),
    ("flapping", 0.8, "broken after 1 s"),
    ("cancel wave", 0.6, "cancels in the wave"),
    ("job alone", 0.0, "makespan / best"),
    ("job alone", 0.0, "makespan / list order"),
    ("job alone", 0.0, "envelopes of the job"),
    ("job beside", 0.2, "makespan / list order"),
]
TEAM_SCENARIOS = [("within quota", 0.8), ("over quota", 0.8), ("unfair", 0.8)]
ABLATION_FIGURES = [
    ("steady", 0.8, RESPONSE_COLUMNS[2]),
    ("steady", 0.8, TRAFFIC_COLUMNS[0]),
    ("steady", 0.95, RESPONSE_COLUMNS[0]),
    ("steady", 1.5, RESPONSE_COLUMNS[0]),
    ("straggler", 0.8, RESPONSE_COLUMNS[2]),
    ("black hole", 0.8, FLOW_COLUMNS[2]),
    ("job beside", 0.2, RESPONSE_COLUMNS[0]),
    ("job beside", 0.2, TRAFFIC_COLUMNS[1]),
    ("cancel wave", 0.6, TRAFFIC_COLUMNS[0]),
    ("declared long", 1.5, RESPONSE_COLUMNS[0]),
]


def write_report(
    results: Results, folder: Path, command: str, seeds: int, seconds: float
) -> None:
    """Write the benchmark page and its plot into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / PAGE_NAME).write_text(_page(results, command, seeds, seconds))
    plot(results, folder / PLOT_NAME)


def _page(results: Results, command: str, seeds: int, seconds: float) -> str:
    presets = list(PRESETS)
    variants = [one.name for one in [*BASELINES, OURS]]
    switched = [OURS.name, *(one.name for one in ABLATIONS)]
    parts = [
        "# The policy under load and faults",
        _introduction(command, seeds, seconds),
        "## Aims",
        aims_table(results),
        f"![Mean ratio, p99 and messages by load]({PLOT_NAME})",
    ]
    for preset in presets:
        parts += [
            f"## Single requests, {preset}",
            steady_table(results, preset, variants, STEADY_LOADS),
        ]
    parts += ["## Messages a task by kind", kinds_table(results, presets, STEADY_LOADS)]
    for preset in presets:
        parts += [
            f"## Faults, {preset}",
            fault_table(results, preset, ["two choices", "ours"], FAULT_SCENARIOS),
        ]
    parts += [
        "## Single figures",
        extra_table(results, presets, EXTRA_FIGURES),
        "## Teams",
        team_table(results, presets, TEAM_SCENARIOS),
        "## What each decision brings",
        "Each is switched off alone (preset urnalia); the first row has all on.",
        ablation_table(results, "urnalia", switched, ABLATION_FIGURES),
    ]
    return "\n\n".join(parts) + "\n"


def _introduction(command: str, seeds: int, seconds: float) -> str:
    return f"""\
Made by `{command}`. A fleet of 3 entries and 11 agents of 8 slots each runs on a
virtual clock; entries and agents run unchanged, and the same seed gives the same
figures on any machine. Requests come as a Poisson process, whether or not earlier ones
were answered; a load of 1 is what the slots can run. 97% of the tasks run from 50 ms
to 1 s, 3% from 1 s to 5 s, evenly over the logarithm. {seeds} seeds, {seconds:g} s of
virtual time each after a warm-up; a cell gives the mean over the seeds and, in
brackets, the lowest and the highest.

*Ratio* is the response time, from a caller and back, over the ideal: the task's own
run time plus one round trip caller–entry–upstream within an availability zone. It is
taken over the single requests that were done. *Messages*, *envelopes* and *platform
calls* are all that the processes sent in the measured time, heartbeats included, over
the tasks that came in it. *One queue (bound)* is the same requests in one queue that
knows each free slot at once, without messages: no way to route that does not know run
times beforehand, nor refuses any, can be expected to beat it.

*Naive* takes an agent at random, *round robin* one after the other, *two choices* the
better of two taken at random, by what rides on results. These three queue at the agents
without a bound and have none of the other decisions; all four share everything else.

*Envelopes of the job* are those that carry starts or results: heartbeats and
attachments, which come whether there is a job or not, are left out there."""


def aims_table(results: Results) -> str:
    """Return a table of the aims, the measured values, and whether they are reached."""
    rows = []
    for preset in PRESETS:
        for title, limit, values in _aims(results, preset):
            if not values:
                continue
            worst = max(values)
            reached = "yes" if worst <= limit else "no"
            rows.append(
                [preset, title, f"≤ {limit:g}", format_spread(values, 3), reached]
            )
    return format_markdown_table(
        ["preset", "aim", "wanted", "measured", "reached by all seeds"], rows
    )


def _aims(results: Results, preset: str) -> Iterable[tuple[str, float, list[float]]]:
    def figures(scenario: str, load: float) -> list[Figures]:
        return results.of(preset, "ours", scenario, load)

    def extra(scenario: str, load: float, name: str) -> list[float]:
        return [f.extra[name] for f in figures(scenario, load) if name in f.extra]

    def pairs(one: list[Figures], other: list[Figures]):
        return zip(one, other, strict=True)

    usual = figures("steady", 0.8)
    yield "mean ratio at 0.8", 1.10, [f.mean for f in usual]
    yield "p99 at 0.8", 1.5, [f.p99 for f in usual]
    yield "messages a task at 0.8", 2.1, [f.all_messages for f in usual]
    job = extra("job alone", 0.0, "envelopes of the job")
    yield "envelopes a task of a job of 1,600", 0.2, job
    pair = pairs(figures("steady", 1.0), figures("steady", 1.5))
    lost = [1 - over.goodput / full.goodput for full, over in pair]
    yield "share of the goodput at 1.0 that is lost at 1.5", 0.03, lost
    hole = extra("black hole", 0.8, "broken after 1 s")
    yield "share of tasks lost to a black hole after 1 s", 0.005, hole
    pair = pairs(usual, figures("straggler", 0.8))
    yield (
        "p99 with a straggler over that without",
        1.3,
        [b.p99 / a.p99 for a, b in pair],
    )
    bound = pairs(results.bound(preset, "straggler", 0.8), figures("straggler", 0.8))
    yield "the same over the bound's p99", 1.3, [b.p99 / a.p99 for a, b in bound]
    best = extra("job alone", 0.0, "makespan / best")
    yield "makespan over the best with run times known", 1.05, best
    listed = extra("job alone", 0.0, "makespan / list order")
    yield "makespan over the best in the job's order", 1.05, listed
    pair = pairs(figures("within quota", 0.8), figures("over quota", 0.8))
    worst = [
        _other_teams_p99(over) / _other_teams_p99(within) - 1 for within, over in pair
    ]
    yield "cost to other teams' p99 of one at ten quotas", 0.05, worst


def _other_teams_p99(figures: Figures) -> float:
    return max(p99 for team, p99 in figures.team_p99.items() if team != "barakaldo")


def plot(results: Results, path: Path) -> None:
    """Plot response ratios and messages by load, with one row per preset."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = [RESPONSE_COLUMNS[0], RESPONSE_COLUMNS[2], TRAFFIC_COLUMNS[0]]
    variants = [one.name for one in [*BASELINES, OURS]]
    grid, rows = pyplot.subplots(2, 3, figsize=(13, 7), constrained_layout=True)
    for preset, row in zip(PRESETS, rows, strict=True):
        for column, axes in zip(columns, row, strict=True):
            _plot_column(results, preset, variants, column, axes)
    rows[0][0].legend()
    grid.savefig(path, dpi=110, metadata={"Software": None})
    pyplot.close(grid)


def _plot_column(
    results: Results, preset: str, variants: list[str], column: Column, axes
):
    for variant in variants:
        means, lows, highs = [], [], []
        for load in STEADY_LOADS:
            values = [
                column.value(f) for f in results.of(preset, variant, "steady", load)
            ]
            means.append(sum(values) / len(values))
            lows.append(means[-1] - min(values))
            highs.append(max(values) - means[-1])
        axes.errorbar(
            STEADY_LOADS, means, [lows, highs], label=variant, marker="o", capsize=3
        )
    if column in RESPONSE_COLUMNS:
        axes.set_yscale("log")
    axes.set_title(f"{preset}: {column.title}")
    axes.set_xlabel("load")
    axes.grid(True, alpha=0.3)
