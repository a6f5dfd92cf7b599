"""Formats the comparison of policies as tables and as a plot."""

import statistics
from pathlib import Path

from bergamotcourse.bench.replay.compare import Interval, PolicyResult
from bergamotcourse.bench.replay.tally import ReplayOutcome
from bergamotcourse.commands.table import format_table

COLUMN_TITLES = (
    "policy",
    "worth",
    "gain",
    "95%",
    "worst",
    "late",
    "refused",
    "after",
    "lost",
    "peak",
)

BOUND_COLUMN = COLUMN_TITLES.index("worth") + 1
"""Position of the upper bounds, if there are any: beside what was earned."""


def format_policy_table(rows: list[PolicyResult]) -> str:
    """Return the table of policies: shares of jobs, and median seconds to a refusal."""
    table = [list(COLUMN_TITLES), *map(cells, rows)]
    if all(outcome.bound is not None for row in rows for outcome in row.outcomes):
        bounds = [f"{row.mean(lambda one: one.bound):.3f}" for row in rows]
        for line, cell in zip(table, ["bound", *bounds], strict=True):
            line.insert(BOUND_COLUMN, cell)
    titles, *lines = table
    return format_table(titles, lines)


def cells(row: PolicyResult) -> list[str]:
    """Return the table cells of one policy."""
    return [
        row.policy,
        f"{row.worth.mean:.3f}",
        f"{row.gain.mean:+.3f}",
        f"{row.gain.low:+.3f} {row.gain.high:+.3f}",
        f"{row.mean(ReplayOutcome.worst_windows):.3f}",
        f"{row.mean(lambda one: one.total.late / one.total.count):.3f}",
        f"{row.mean(lambda one: len(one.total.refusals) / one.total.count):.3f}",
        f"{row.mean(median_refusal):.3f}",
        f"{row.mean(lambda one: one.total.failed / one.total.count):.3f}",
        f"{row.mean(ReplayOutcome.peak_arrivals):.0f}",
    ]


def format_kinds_table(row: PolicyResult) -> str:
    """Return the table of the kinds of jobs under one policy, over all seeds."""
    lines = []
    for name in row.outcomes[0].kinds:
        tallies = [outcome.kinds[name] for outcome in row.outcomes]
        count = sum(tally.count for tally in tallies)
        lines.append(
            [
                name,
                count,
                f"{sum(tally.in_time for tally in tallies) / count:.3f}",
                f"{sum(tally.late for tally in tallies) / count:.3f}",
                f"{sum(len(tally.refusals) for tally in tallies) / count:.3f}",
                f"{sum(tally.failed for tally in tallies) / count:.3f}",
            ]
        )
    return format_table(("kind", "jobs", "in time", "late", "refused", "lost"), lines)


def median_refusal(outcome: ReplayOutcome) -> float:
    """Return the median seconds to a refusal, or 0 without refusals."""
    waits = outcome.total.refusals
    return statistics.median_high(waits) if waits else 0.0


def plot_worth(rows: list[PolicyResult], path: Path) -> None:
    """Write a plot of the worth of each policy with its confidence interval."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 1 + 0.4 * len(rows)))
    for position, row in enumerate(reversed(rows)):
        plot_interval(axes, position, row.worth)
    axes.set_yticks(range(len(rows)), [row.policy for row in reversed(rows)])
    axes.set_xlabel("share of the worth earned, with its 95% interval")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_interval(axes, position: int, worth: Interval) -> None:
    """Plot the confidence interval of one policy."""
    errors = [[worth.mean - worth.low], [worth.high - worth.mean]]
    axes.errorbar(worth.mean, position, xerr=errors, fmt="o", capsize=3)
