"""``scenario``: run scenario files on a virtual fleet."""

from pathlib import Path

import click
from expression import Result

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.scenarios.parser import parse
from bergamotcourse.scenarios.runner import Report, run_scenario
from bergamotcourse.scenarios.schedules import make_schedule
from bergamotcourse.scenarios.survey import ANSWERED_OUTCOMES, run_schedules


def scenario(files: list[str], seed: int, verbose: bool) -> int:
    """Run scenario files and print their failures; return the exit code."""
    code = ExitCode.OK
    for file in files:
        match parse(Path(file).read_text(), file):
            case Result(tag="ok", ok=steps):
                report = run_scenario(steps, seed)
            case Result(error=faults):
                click.echo("\n".join(faults), err=True)
                return ExitCode.INVALID
        outcomes = ", ".join(f"{n} {o}" for o, n in sorted(report.outcomes.items()))
        verdict = "failed" if report.failures else "passed"
        click.echo(f"{file}: {verdict} (seed {seed}; {outcomes})")
        for failure in report.failures:
            click.echo(f"  {failure}")
            code = ExitCode.NOT_HELD
        if verbose:
            echo_records(report)
    return code


def random_schedules(count: int, seed: int, verbose: bool) -> int:
    """Run random schedules and print a summary; return the exit code."""
    survey = run_schedules(range(seed, seed + count))
    if verbose:
        click.echo(make_schedule(seed).text)
    for failed, failures in survey.failures.items():
        click.echo(f"seed {failed}: failed")
        for failure in failures:
            click.echo(f"  {failure}")
    click.echo("schedules  answers  unknown  longest gap  with this fault among others")
    kinds = sorted(survey.kinds.items(), key=lambda pair: pair[0].value)
    rows = [(kind.value, summary) for kind, summary in kinds] + [("any", survey.total)]
    for name, summary in rows:
        answers = sum(summary.outcomes[answer] for answer in ANSWERED_OUTCOMES)
        click.echo(
            f"{summary.schedules:9d}  {answers:7d}  {summary.unknown_share:7.1%}"
            f"  {summary.longest_gap:9.1f} s  {name}"
        )
    return ExitCode.NOT_HELD if survey.failures else ExitCode.OK


def echo_records(report: Report) -> None:
    """Print all answers and all task starts."""
    for submission in report.submissions:
        for copy in submission.copies:
            at = copy.answered_at
            answered = "never" if at is None else f"{at:.3f}"
            click.echo(
                f"  {copy.label} via {copy.entry}: submitted {copy.submitted_at:.3f},"
                f" answered {answered}: {copy.outcome} {copy.body.decode()!r}"
            )
    for start in report.starts:
        click.echo(f"  {start.at:.3f} {start.task} starts at {start.agent}")
