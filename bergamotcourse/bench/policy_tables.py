"""Markdown tables of the policy benchmark."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bergamotcourse.bench.policy_bound import one_queue_bound
from bergamotcourse.bench.policy_figures import Figures
from bergamotcourse.bench.policy_run import Run

BOUND = "one queue (bound)"

Value = Callable[[Figures], float]


@dataclass(frozen=True)
class Column:
    """One column of figures.

    Attributes:
        digits: Number of digits after the decimal point.
    """

    title: str
    value: Value
    digits: int = 2


RESPONSE_COLUMNS = [
    Column("mean ratio", lambda f: f.mean, 3),
    Column("p50", lambda f: f.p50),
    Column("p99", lambda f: f.p99),
]
FLOW_COLUMNS = [
    Column("done/s", lambda f: f.goodput, 0),
    Column("not run %", lambda f: 100 * f.refused, 1),
    Column("failed, unknown, lost %", lambda f: 100 * f.broken),
]
TRAFFIC_COLUMNS = [
    Column("messages", lambda f: f.all_messages),
    Column("envelopes", lambda f: f.envelopes),
    Column("platform calls", lambda f: f.platform_calls, 3),
]
MESSAGE_KINDS = ("Start", "TaskResult", "AgentLoad", "Attach", "Cancel", "Bar")


class Results:
    """The figures of all runs."""

    def __init__(self, figures: dict[Run, Figures]):
        self.figures = figures

    def of(
        self, preset: str, variant: str, scenario: str, load: float
    ) -> list[Figures]:
        """Return the figures of matching runs, ordered by seed."""
        wanted = (preset, variant, scenario, load)
        return [
            figures
            for run, figures in sorted(self.figures.items(), key=lambda i: i[0].seed)
            if (run.preset, run.variant, run.scenario, run.load) == wanted
        ]

    def bound(self, preset: str, scenario: str, load: float) -> list[Figures]:
        """Return the one-queue bound for the same requests, ordered by seed."""
        runs = {
            run.seed: run
            for run in self.figures
            if (run.preset, run.scenario, run.load) == (preset, scenario, load)
        }
        return [one_queue_bound(runs[seed]) for seed in sorted(runs)]


def format_spread(values: Iterable[float], digits: int) -> str:
    """Return the mean of the values, with the lowest and highest where they differ."""
    values = list(values)
    if not values:
        return "–"
    mean = f"{sum(values) / len(values):.{digits}f}"
    low, high = f"{min(values):.{digits}f}", f"{max(values):.{digits}f}"
    return mean if low == high else f"{mean} ({low}–{high})"


def cells(figures: list[Figures], columns: list[Column]) -> list[str]:
    """Return the cells of one row."""
    return [format_spread((c.value(f) for f in figures), c.digits) for c in columns]


def format_markdown_table(titles: list[str], rows: Iterable[list[str]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(titles) + " |", "|" + "---|" * len(titles)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def steady_table(
    results: Results, preset: str, variants: list[str], loads: Iterable[float]
) -> str:
    """Return the table of all variants under single requests at each load."""
    columns = RESPONSE_COLUMNS + FLOW_COLUMNS[:2] + TRAFFIC_COLUMNS[:2]
    rows = []
    for load in loads:
        for variant in variants:
            figures = results.of(preset, variant, "steady", load)
            rows.append([f"{load:g}", variant, *cells(figures, columns)])
        bound = cells(results.bound(preset, "steady", load), RESPONSE_COLUMNS)
        rows.append([f"{load:g}", BOUND, *bound, *["–"] * 4])
    return format_markdown_table(["load", "way", *(c.title for c in columns)], rows)


def fault_table(
    results: Results,
    preset: str,
    variants: list[str],
    scenarios: Iterable[tuple[str, float]],
) -> str:
    """Return the table of the variants under each fault, with the bound of the p99."""
    columns = [*RESPONSE_COLUMNS[::2], *FLOW_COLUMNS, TRAFFIC_COLUMNS[0]]
    rows = []
    for scenario, load in scenarios:
        bound = results.bound(preset, scenario, load)
        best = format_spread((f.p99 for f in bound), 2)
        for variant in variants:
            figures = results.of(preset, variant, scenario, load)
            row = [scenario, f"{load:g}", variant, *cells(figures, columns), best]
            rows.append(row)
    titles = ["scenario", "load", "way", *(c.title for c in columns), "p99 bound"]
    return format_markdown_table(titles, rows)


def kinds_table(
    results: Results, presets: Iterable[str], loads: Iterable[float]
) -> str:
    """Return the table of messages per task by kind, for the variant "ours"."""
    columns = [
        Column(kind, lambda f, kind=kind: f.messages.get(kind, 0.0), 3)
        for kind in MESSAGE_KINDS
    ]
    columns += [*TRAFFIC_COLUMNS, Column("bytes", lambda f: f.bytes, 0)]
    rows = [
        [
            preset,
            f"{load:g}",
            *cells(results.of(preset, "ours", "steady", load), columns),
        ]
        for preset in presets
        for load in loads
    ]
    return format_markdown_table(["preset", "load", *(c.title for c in columns)], rows)


def extra_table(
    results: Results, presets: Iterable[str], wanted: Iterable[tuple[str, float, str]]
) -> str:
    """Return the table of figures that only some scenarios have."""
    rows = [
        [
            scenario,
            f"{load:g}",
            name,
            preset,
            format_spread(_extra_values(figures, name), 3),
        ]
        for scenario, load, name in wanted
        for preset in presets
        if (figures := results.of(preset, "ours", scenario, load))
    ]
    return format_markdown_table(["scenario", "load", "figure", "preset", "ours"], rows)


def team_table(
    results: Results, presets: Iterable[str], scenarios: Iterable[tuple[str, float]]
) -> str:
    """Return the table of the 99th percentiles and rates of each team."""
    rows = []
    for preset in presets:
        for scenario, load in scenarios:
            figures = results.of(preset, "ours", scenario, load)
            for team in sorted({t for f in figures for t in f.team_p99}):
                p99 = format_spread((f.team_p99.get(team, 0) for f in figures), 2)
                done = format_spread((f.team_done.get(team, 0) for f in figures), 1)
                rows.append([preset, scenario, team, p99, done])
    return format_markdown_table(["preset", "scenario", "team", "p99", "done/s"], rows)


def ablation_table(
    results: Results,
    preset: str,
    variants: list[str],
    scenarios: Iterable[tuple[str, float, Column]],
) -> str:
    """Return the table of one figure per scenario with each decision switched off."""
    scenarios = list(scenarios)
    rows = [
        [variant]
        + [
            format_spread(
                (c.value(f) for f in results.of(preset, variant, name, load)), c.digits
            )
            for name, load, c in scenarios
        ]
        for variant in variants
    ]
    titles = [f"{name} {load:g}: {c.title}" for name, load, c in scenarios]
    return format_markdown_table(["switched off", *titles], rows)


def _extra_values(figures: list[Figures], name: str) -> list[float]:
    return [f.extra[name] for f in figures if name in f.extra]
