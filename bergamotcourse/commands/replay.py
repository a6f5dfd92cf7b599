"""``replay``: compare ways to decide on a load, on a virtual clock."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
from expression import Result

from bergamotcourse.bench.replay.compare import compare
from bergamotcourse.bench.replay.load_file import Load, read_load
from bergamotcourse.bench.replay.report import draw, kinds_table, table
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.coordination.jobs.policy import SWITCHES, JobPolicy

FULL = "all"


def replay(
    file: str, without: list[str], seeds: range, jobs: int, plot: str | None
) -> int:
    """Replay a load file under policies, print a table; return the exit code."""
    try:
        compared = policies(without)
    except ValueError as error:
        click.echo(f"error: {error}", err=True)
        return ExitCode.INVALID
    match read_load(file):
        case Result(tag="ok", ok=load):
            show(load, compared, seeds, jobs, plot)
            return ExitCode.OK
        case Result(error=issues):
            click.echo("\n".join(str(issue) for issue in issues), err=True)
            return ExitCode.INVALID


def policies(without: list[str]) -> dict[str, JobPolicy]:
    """Return the whole policy, and one without each of the mechanisms named."""
    names = SWITCHES if without == [FULL] else without
    rest = {f"without {name}": JobPolicy.without([name]) for name in names}
    return {FULL: JobPolicy(), **rest}


def show(load: Load, policies, seeds: range, jobs: int, plot: str | None) -> None:
    """Replay, and print what came out."""
    with ProcessPoolExecutor(jobs) as pool:
        rows = compare(load, policies, seeds, pool)
    click.echo(table(rows))
    click.echo(kinds_table(rows[0]))
    if plot is not None:
        draw(rows, Path(plot))
