"""Output of the commands, as text for people or JSON for pipelines."""

import sys
from dataclasses import dataclass
from typing import Any

import click
import msgspec
from expression import Result

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.coordination.config_reports import accept_report
from bergamotcourse.coordination.config_store import (
    Applied,
    ApplyOutcome,
    LostRace,
    Unchanged,
    may_have_taken_effect,
)
from bergamotcourse.errors import Step, StepError
from bergamotcourse.protocol.platform import PlatformError
from bergamotcourse.state.issues import Issue, errors
from bergamotcourse.state.manifest_diff import Changes, describe_changes


@dataclass(frozen=True)
class ErrorReport:
    """Error of a command, as JSON."""

    error: str
    step: str
    peer: str


def echo_json(value: Any) -> None:
    """Write a value as one line of JSON."""
    click.echo(msgspec.json.encode(value).decode())


def echo_issues(issues: list[Issue], json: bool) -> None:
    """Write issues as JSON to stdout or as text to stderr."""
    if json:
        echo_json(issues)
        return
    for issue in issues:
        click.echo(str(issue), err=True)


def echo_invalid(issues: list[Issue], json: bool) -> ExitCode:
    """Write the issues of an invalid file and return the exit code for it."""
    echo_issues(issues, json)
    if not json:
        click.echo(f"{len(errors(issues))} errors; nothing was sent", err=True)
    return ExitCode.INVALID


def echo_changes(changes: Changes) -> None:
    """Write changes as text, one per line."""
    for line in describe_changes(changes):
        click.echo(f"  {line}")


def echo_error(error: StepError, json: bool) -> ExitCode:
    """Write an error and return the exit code for it."""
    if json:
        echo_json(ErrorReport(error.detail, error.step.value, error.peer))
    else:
        click.echo(f"error: {error}", err=True)
    return error_code(error)


def error_code(error: StepError) -> ExitCode:
    """Return the exit code for an error."""
    if may_have_taken_effect(error):
        return ExitCode.IN_DOUBT
    if isinstance(error, PlatformError):
        return ExitCode.UNREACHABLE
    match error.step:
        case Step.DECODE:
            return ExitCode.BROKEN
        case Step.SETTINGS:
            return ExitCode.INVALID
        case _:
            return ExitCode.NOT_FOUND


def echo_apply_outcome(result: Result[ApplyOutcome, StepError], json: bool) -> ExitCode:
    """Write the outcome of a change and return the exit code for it."""
    if result.is_error():
        code = echo_error(result.error, json)
        if code is ExitCode.IN_DOUBT and not json:
            click.echo(
                "the change may have been accepted: run the same command again, it"
                " changes nothing twice",
                err=True,
            )
        return code
    if json:
        echo_json(accept_report(result.ok))
    else:
        _echo_outcome_text(result.ok)
    return ExitCode.LOST_RACE if isinstance(result.ok, LostRace) else ExitCode.OK


def _echo_outcome_text(accepted: ApplyOutcome) -> None:
    match accepted:
        case Applied(version, changes, dry_run):
            verb = "would be accepted" if dry_run else "accepted"
            click.echo(f"{verb} as version {version}:")
            echo_changes(changes)
        case Unchanged(version):
            click.echo(f"unchanged: in force as version {version}")
        case LostRace(winner, changes):
            click.echo(
                f"refused: {winner.who} changed the configuration to version"
                f" {winner.version} at {winner.when} ({winner.reason}); review the"
                " difference and apply again. Changed since your review:",
                err=True,
            )
            for line in describe_changes(changes):
                click.echo(f"  {line}", err=True)


def read_stdin() -> str:
    """Return all of stdin, the content of a file named ``-``."""
    return sys.stdin.read()
