"""A comparison as a table, and as a plot."""

import statistics
from pathlib import Path

from bergamotcourse.bench.replay.compare import Interval, Row
from bergamotcourse.bench.replay.tally import Outcome
from bergamotcourse.commands.table import format_table

HEADS = ("policy", "worth", "gain", "95%", "worst", "late", "refused", "after", "lost")


def table(rows: list[Row]) -> str:
    """Return the table: shares of the jobs, seconds at the median to a refusal."""
    return format_table(HEADS, [cells(row) for row in rows])


def cells(row: Row) -> list[str]:
    """Return one policy's cells."""
    return [
        row.policy,
        f"{row.worth.mean:.3f}",
        f"{row.gain.mean:+.3f}",
        f"{row.gain.low:+.3f} {row.gain.high:+.3f}",
        f"{row.mean(Outcome.worst_windows):.3f}",
        f"{row.mean(lambda one: one.total.late / one.total.count):.3f}",
        f"{row.mean(lambda one: len(one.total.refusals) / one.total.count):.3f}",
        f"{row.mean(median_refusal):.3f}",
        f"{row.mean(lambda one: one.total.failed / one.total.count):.3f}",
    ]


def kinds_table(row: Row) -> str:
    """Return a table of the kinds of jobs under one policy, over all seeds."""
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


def median_refusal(outcome: Outcome) -> float:
    """Return the median of the seconds to a refusal; 0 without any."""
    waits = outcome.total.refusals
    return statistics.median_high(waits) if waits else 0.0


def draw(rows: list[Row], path: Path) -> None:
    """Draw the worth of each policy with its interval."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 1 + 0.4 * len(rows)))
    for place, row in enumerate(reversed(rows)):
        draw_bar(axes, place, row.worth)
    axes.set_yticks(range(len(rows)), [row.policy for row in reversed(rows)])
    axes.set_xlabel("share of the worth earned, with its 95% interval")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def draw_bar(axes, place: int, worth: Interval) -> None:
    """Draw one policy's interval."""
    errors = [[worth.mean - worth.low], [worth.high - worth.mean]]
    axes.errorbar(worth.mean, place, xerr=errors, fmt="o", capsize=3)
