"""``status``: show the status of entries and of the agents they know."""

from dataclasses import dataclass, field

import click
import trio
from expression import Result

from bergamotcourse.commands.admin_client import (
    ForbiddenError,
    StatusReply,
    read_statuses,
    read_token,
)
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import ErrorReport, echo_error, echo_json
from bergamotcourse.commands.table import format_table
from bergamotcourse.protocol.drain_progress import newest_agents
from bergamotcourse.protocol.status import EntryStatus

ENTRY_COLUMNS = ("ENTRY", "ZONE", "READY", "CONFIG", "LEASE", "RANGES", "AGENTS")
ENTRY_COLUMNS += ("QUEUED", "RETRIES", "DONE", "FAILED", "NOT RUN", "UNKNOWN")
AGENT_COLUMNS = ("AGENT", "ZONE", "RACK", "WORKER", "HEALTH", "SERVICE", "SLOTS")
AGENT_COLUMNS += ("LOAD", "IN FLIGHT")
OUTCOMES = ("done", "failed", "not_run", "unknown")


@dataclass(frozen=True)
class StatusReport:
    """Status of the entries that answered, and errors of the others, as JSON."""

    entries: list[EntryStatus] = field(default_factory=list)
    errors: list[ErrorReport] = field(default_factory=list)


def status(addresses: list[str], token_file: str | None, json: bool = False) -> int:
    """Show the status of entries; return the exit code.

    Args:
        addresses: Addresses of the entries' admin listeners, ``IP:PORT``.
        token_file: File with the bearer token; ``None`` for the environment.
        json: Write JSON instead of text.
    """
    token = read_token(token_file)
    if token.is_error():
        return echo_error(token.error, json)
    replies = trio.run(read_statuses, addresses, token.ok)
    entries = [reply.result.ok for reply in replies if reply.result.is_ok()]
    if json:
        echo_json(StatusReport(entries, _error_reports(replies)))
    else:
        _echo_status(entries, replies)
    return exit_code(replies)


def exit_code(replies: list[StatusReply]) -> ExitCode:
    """Return the exit code for status replies."""
    failed = [reply.result.error for reply in replies if reply.result.is_error()]
    if any(isinstance(error, ForbiddenError) for error in failed):
        return ExitCode.FORBIDDEN
    return ExitCode.UNREACHABLE if failed else ExitCode.OK


def describe_entries(entries: list[EntryStatus]) -> str:
    """Return a table of entries and a table of the agents they know."""
    rows = [_entry_row(entry) for entry in entries]
    agents = [
        row for agent in newest_agents(entries) for row in _agent_rows(agent, entries)
    ]
    return "\n\n".join(
        [format_table(ENTRY_COLUMNS, rows), format_table(AGENT_COLUMNS, agents)]
    )


def _entry_row(entry: EntryStatus) -> list[object]:
    usable = sum(1 for agent in entry.agents if agent.health == "usable")
    queued = sum(queue.requests + queue.job_tasks for queue in entry.queues)
    ready = "stopping" if entry.stopping else "yes" if entry.ready else "no"
    outcomes = [entry.counters.get(f"outcome.{name}", 0) for name in OUTCOMES]
    return [
        entry.id,
        entry.zone,
        ready,
        f"v{entry.config.version}",
        f"{entry.lease.state} {entry.lease.left_seconds:.1f}s",
        len(entry.ranges.hashed),
        f"{usable}/{len(entry.agents)}",
        queued,
        f"{entry.retry_budget:.0f}",
        *outcomes,
    ]


def _agent_rows(agent, entries: list[EntryStatus]) -> list[list[object]]:
    """Return a row per service; its in-flight count sums over all entries."""
    health = f"{agent.health} (drained)" if agent.drained else agent.health
    place = [agent.id, agent.zone, agent.rack or "-", agent.worker or "-", health]
    rows = [
        [
            *place,
            one.service,
            one.slots,
            one.load,
            _in_flight(agent.id, one.service, entries),
        ]
        for one in agent.services
    ]
    return rows or [[*place, "-", 0, 0, 0]]


def _in_flight(agent: str, service: str, entries: list[EntryStatus]) -> int:
    return sum(
        load.in_flight
        for entry in entries
        for one in entry.agents
        if one.id == agent
        for load in one.services
        if load.service == service
    )


def _echo_status(entries: list[EntryStatus], replies: list[StatusReply]) -> None:
    if entries:
        click.echo(describe_entries(entries))
    for report in _error_reports(replies):
        click.echo(f"error: {report.peer}: {report.error}", err=True)


def _error_reports(replies: list[StatusReply]) -> list[ErrorReport]:
    errors = []
    for reply in replies:
        match reply.result:
            case Result(tag="error", error=error):
                report = ErrorReport(error.detail, error.step.value, reply.address)
                errors.append(report)
    return errors
