"""``validate``: check a manifest or settings file without the platform."""

import click

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.manifest_file import read_manifest_file
from bergamotcourse.commands.output import echo_invalid, echo_issues, echo_json
from bergamotcourse.coordination.config_reports import ValidReport
from bergamotcourse.state.issues import Issue
from bergamotcourse.state.manifest import digest
from bergamotcourse.state.reference import manifest_schema
from bergamotcourse.state.settings import ProcessKind, load_settings


def validate(file: str, json: bool = False) -> int:
    """Check a manifest file; return the exit code."""
    loaded = read_manifest_file(file)
    if loaded.is_error():
        return echo_invalid(loaded.error, json)
    manifest_digest = digest(loaded.ok.manifest)
    _echo_valid(file, manifest_digest, loaded.ok.warnings, json)
    return ExitCode.OK


def validate_settings(file: str, kind: ProcessKind, json: bool = False) -> int:
    """Check the settings file of a process; return the exit code."""
    loaded = load_settings(file, kind)
    if loaded.is_error():
        return echo_invalid(loaded.error, json)
    _echo_valid(file, "", loaded.ok.warnings, json)
    return ExitCode.OK


def print_schema() -> int:
    """Write the JSON Schema of the manifest; return the exit code."""
    echo_json(manifest_schema())
    return ExitCode.OK


def _echo_valid(
    file: str, manifest_digest: str, warnings: list[Issue], json: bool
) -> None:
    if json:
        echo_json(ValidReport(manifest_digest, warnings))
        return
    echo_issues(warnings, json)
    suffix = f", digest {manifest_digest}" if manifest_digest else ""
    click.echo(f"{file}: valid{suffix}")
