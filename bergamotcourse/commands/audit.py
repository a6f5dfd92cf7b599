"""``audit``: show the audit trail of changes, or verify that it is intact."""

import click
from expression import Result

from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_changes, echo_error, echo_json
from bergamotcourse.coordination.config_audit import (
    AuditFilter,
    read_audit,
    verify_audit,
)
from bergamotcourse.coordination.config_reports import verify_report
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.state.config_record import Record


def audit(
    platform: str,
    who: str = "",
    path: str = "",
    since: str = "",
    first: int = 1,
    last: int | None = None,
    json: bool = False,
    opener: Opener = open_platform,
) -> int:
    """Show the records that match all filters; return the exit code.

    Args:
        platform: Address of the platform, ``IP:PORT``.
        who: The author, or ``""`` for any.
        path: Prefix of a changed path, such as ``teams.``, or ``""`` for any.
        since: Earliest time in ISO 8601 (UTC), or ``""`` for any.
        first: First version to show.
        last: Last version to show; ``None`` for the newest.
        json: Write JSON instead of text.
        opener: Opens the connection to the platform.
    """
    newest = None if last is None else ConfigVersion(last)
    audit_filter = AuditFilter(who, path, since, ConfigVersion(first), newest)

    async def run(store: Platform) -> Result[list[Record], StepError]:
        return await read_audit(store, audit_filter)

    result = call_platform(platform, opener, run)
    if result.is_error():
        return echo_error(result.error, json)
    if json:
        echo_json(result.ok)
    else:
        for record in result.ok:
            _echo_record(record)
    return ExitCode.OK


def audit_verify(
    platform: str, json: bool = False, opener: Opener = open_platform
) -> int:
    """Verify that the audit trail is intact; return the exit code.

    Args:
        platform: Address of the platform, ``IP:PORT``.
        json: Write JSON instead of text.
        opener: Opens the connection to the platform.
    """
    result = call_platform(platform, opener, verify_audit)
    if result.is_error():
        return echo_error(result.error, json)
    report = verify_report(result.ok)
    if json:
        echo_json(report)
    else:
        click.echo(f"version {report.version}: {report.detail}")
    return ExitCode.OK if report.whole else ExitCode.BROKEN


def _echo_record(record: Record) -> None:
    back = f" (rollback to {record.rollback_to})" if record.rollback_to else ""
    click.echo(
        f"version {record.version}{back} at {record.when} by {record.who}:"
        f" {record.reason}"
    )
    if record.changes is None:
        click.echo("  changes too long for the record; compare the full manifests")
    else:
        echo_changes(record.changes)
