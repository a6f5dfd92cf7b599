"""``replay``: compare dispatch policies under a load, on a virtual clock."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
from expression import Result

from bergamotcourse.bench.replay.compare import compare
from bergamotcourse.bench.replay.load_file import Load, read_load
from bergamotcourse.bench.replay.report import (
    format_kinds_table,
    format_policy_table,
    plot_worth,
)
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.coordination.jobs.policy import STANDARD_SWITCHES, JobPolicy

ALL_MECHANISMS = "all"


def replay(
    file: str,
    without: list[str],
    seeds: range,
    jobs: int,
    plot: str | None,
    bounds: bool = False,
    optional: list[str] | None = None,
) -> int:
    """Replay a load file and print a comparison; return the exit code."""
    try:
        compared = policies(without, optional or [])
    except ValueError as error:
        click.echo(f"error: {error}", err=True)
        return ExitCode.INVALID
    match read_load(file):
        case Result(tag="ok", ok=load):
            print_comparison(load, compared, seeds, jobs, plot, bounds)
            return ExitCode.OK
        case Result(error=issues):
            click.echo("\n".join(str(issue) for issue in issues), err=True)
            return ExitCode.INVALID


def policies(without: list[str], optional: list[str]) -> dict[str, JobPolicy]:
    """Return the policy, and one variant without or with each named mechanism."""
    names = STANDARD_SWITCHES if without == [ALL_MECHANISMS] else without
    variants = {f"without {name}": JobPolicy.without([name]) for name in names}
    for name in optional:
        variants[f"with {name}"] = JobPolicy().with_mechanisms([name])
    return {ALL_MECHANISMS: JobPolicy(), **variants}


def print_comparison(
    load: Load, policies, seeds: range, jobs: int, plot: str | None, bounds: bool
) -> None:
    """Replay a load under all policies and print the results."""
    with ProcessPoolExecutor(jobs) as pool:
        rows = compare(load, policies, seeds, pool, bounds)
    click.echo(format_policy_table(rows))
    click.echo(format_kinds_table(rows[0]))
    if plot is not None:
        plot_worth(rows, Path(plot))
