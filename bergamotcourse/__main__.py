"""The command line."""

import sys

import click

from bergamotcourse import __version__
from bergamotcourse.commands import apply as apply_command
from bergamotcourse.commands import audit as audit_command
from bergamotcourse.commands import diff as diff_command
from bergamotcourse.commands import drain as drain_command
from bergamotcourse.commands import processes
from bergamotcourse.commands import rollback as rollback_command
from bergamotcourse.commands import status as status_command
from bergamotcourse.commands import submit as submit_command
from bergamotcourse.commands import trace as trace_command
from bergamotcourse.commands import validate as validate_command
from bergamotcourse.errors import BergamotcourseError
from bergamotcourse.state.manifest import Drain, DrainKind
from bergamotcourse.state.settings import ProcessKind

SETTINGS = click.option(
    "--settings", required=True, metavar="FILE", help="Settings of the process (YAML)."
)
PLATFORM = click.option(
    "--platform",
    required=True,
    metavar="IP:PORT",
    help="Address of the platform's service.",
)
JSON = click.option("--json", is_flag=True, help="Write JSON instead of text.")
WHO = click.option(
    "--who", required=True, help="Author of the change, for the audit trail."
)
REASON = click.option(
    "--reason", required=True, help="Reason for the change, for the audit trail."
)
DRY_RUN = click.option("--dry-run", is_flag=True, help="Compare only.")
TOKEN_FILE = click.option(
    "--token-file",
    metavar="FILE",
    help="File with the bearer token; default: BERGAMOTCOURSE_TOKEN.",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def cli() -> None:
    """bergamotcourse: a dispatcher for sub-second tasks."""


@cli.command()
@SETTINGS
def entry(settings: str) -> None:
    """Run an entry, which accepts callers' jobs and session requests."""
    sys.exit(processes.run_daemon(ProcessKind.ENTRY, settings))


@cli.command()
@SETTINGS
def agent(settings: str) -> None:
    """Run an agent beside an upstream."""
    sys.exit(processes.run_daemon(ProcessKind.AGENT, settings))


@cli.command()
@click.argument("file")
@click.option(
    "--kind",
    type=click.Choice(["manifest", "entry", "agent"]),
    default="manifest",
    help="Kind of file.",
)
@JSON
def validate(file: str, kind: str, json: bool) -> None:
    """Check a manifest or settings FILE; report all errors and warnings."""
    if kind == "manifest":
        sys.exit(validate_command.validate(file, json))
    sys.exit(validate_command.validate_settings(file, ProcessKind(kind), json))


@cli.command()
def schema() -> None:
    """Write the JSON Schema of the manifest, for the pipeline that generates it."""
    sys.exit(validate_command.print_schema())


@cli.command()
@click.argument("file")
@PLATFORM
@JSON
def diff(file: str, platform: str, json: bool) -> None:
    """Compare a manifest FILE with the accepted manifest."""
    sys.exit(diff_command.diff(file, platform, json))


@cli.command()
@click.argument("file")
@PLATFORM
@click.option(
    "--reviewed-version",
    required=True,
    type=int,
    help="Version that diff compared with; 0 if none is accepted yet.",
)
@WHO
@REASON
@DRY_RUN
@click.option(
    "--wait",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="Longest wait for all entries to have it in force; lists lagging entries.",
)
@JSON
def apply(
    file: str,
    platform: str,
    reviewed_version: int,
    who: str,
    reason: str,
    dry_run: bool,
    wait: float,
    json: bool,
) -> None:
    """Submit a manifest FILE, accepted only if nothing changed since its review."""
    sys.exit(
        apply_command.apply(
            file, platform, reviewed_version, who, reason, dry_run, json, wait=wait
        )
    )


@cli.command()
@click.argument("version", type=int)
@PLATFORM
@WHO
@REASON
@DRY_RUN
@JSON
def rollback(
    version: int, platform: str, who: str, reason: str, dry_run: bool, json: bool
) -> None:
    """Accept the content of an earlier VERSION as a new version."""
    sys.exit(
        rollback_command.rollback(
            version, platform, who, reason, dry_run=dry_run, json=json
        )
    )


@cli.command()
@PLATFORM
@click.option("--who", default="", help="Only changes by this author.")
@click.option("--path", default="", help="Only changes under this path.")
@click.option(
    "--since", default="", help="Only changes at or after this time (ISO 8601)."
)
@click.option("--first", type=int, default=1, help="First version to show.")
@click.option(
    "--last", type=int, default=None, help="Last version to show; default: the newest."
)
@click.option(
    "--verify", is_flag=True, help="Check that no record is missing or altered."
)
@JSON
def audit(
    platform: str,
    who: str,
    path: str,
    since: str,
    first: int,
    last: int | None,
    verify: bool,
    json: bool,
) -> None:
    """Show or verify the audit trail of changes."""
    if verify:
        sys.exit(audit_command.audit_verify(platform, json))
    sys.exit(audit_command.audit(platform, who, path, since, first, last, json))


@cli.command()
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Admin listener of an entry; may be given several times.",
)
@TOKEN_FILE
@JSON
def status(entries: tuple[str, ...], token_file: str | None, json: bool) -> None:
    """Show the status of entries and of the agents, queues and ranges they know."""
    sys.exit(status_command.status(list(entries), token_file, json))


@cli.command()
@click.argument("kind", type=click.Choice([kind.value for kind in DrainKind]))
@click.argument("name")
@PLATFORM
@WHO
@REASON
@click.option("--cancel", is_flag=True, help="Cancel the drain instead of starting it.")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    metavar="IP:PORT",
    help="Admin listener of an entry, for load and progress; list all entries.",
)
@TOKEN_FILE
@click.option("--wait", is_flag=True, help="Wait until no task runs there.")
@click.option("--timeout", type=float, default=600.0, help="Longest wait, seconds.")
@click.option(
    "--force",
    is_flag=True,
    help="Drain even if the remaining slots cannot carry the load.",
)
@DRY_RUN
@JSON
def drain(kind: str, name: str, wait: bool, timeout: float, entries, **more) -> None:
    """Take an upstream, worker, rack, zone or release out of service."""
    options = drain_command.DrainOptions(
        drain=Drain(kind=DrainKind(kind), name=name),
        entries=list(entries),
        wait_seconds=timeout if wait else 0.0,
        **more,
    )
    sys.exit(drain_command.drain(options))


@cli.command()
@click.argument("file")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Callers' listener of an entry; several are tried in turn.",
)
@click.option("--key", default="", help="Idempotency key; default: a new one.")
@TOKEN_FILE
@click.option("--timeout", type=float, default=300.0, help="Longest wait, seconds.")
def submit(
    file: str, entries: tuple[str, ...], key: str, token_file: str, timeout: float
) -> None:
    """Submit the job or session request in FILE (JSON or YAML); print its answer."""
    options = submit_command.SubmitOptions(
        file, list(entries), key, token_file, timeout
    )
    sys.exit(submit_command.submit(options))


@cli.command()
@click.argument("files", nargs=-1)
@click.option(
    "--seed", type=int, default=1, help="Seed of the random number generators."
)
@click.option(
    "--random", type=int, default=0, help="Number of random fault schedules to run."
)
@click.option("--verbose", is_flag=True, help="Also print all answers and task starts.")
def scenario(files: tuple[str, ...], seed: int, random: int, verbose: bool) -> None:
    """Run scenario FILES, or random fault schedules, on a virtual fleet."""
    # Imported here: with trio.testing it would cost each daemon 8 MB of memory.
    from bergamotcourse.commands import scenario as scenario_command

    if random:
        sys.exit(scenario_command.random_schedules(random, seed, verbose))
    sys.exit(scenario_command.scenario(list(files), seed, verbose))


@cli.command()
@click.argument("file")
@click.option(
    "--without",
    multiple=True,
    metavar="MECHANISM",
    help="Also replay with this mechanism disabled; all: each in turn.",
)
@click.option(
    "--with",
    "optional",
    multiple=True,
    metavar="MECHANISM",
    help="Also replay with this optional mechanism enabled.",
)
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--seeds", type=int, default=5, help="Number of seeds.")
@click.option("--jobs", type=int, default=4, help="Replays to run in parallel.")
@click.option("--plot", metavar="PNG", help="Also plot the comparison to this file.")
@click.option(
    "--bound",
    is_flag=True,
    help="Also print an upper bound on the worth that any dispatcher can earn.",
)
def replay(
    file: str,
    without: tuple[str, ...],
    optional: tuple[str, ...],
    seed: int,
    seeds: int,
    jobs: int,
    plot: str | None,
    bound: bool,
) -> None:
    """Replay a load FILE on a virtual fleet under several dispatch policies."""
    from bergamotcourse.commands import replay as replay_command

    seed_range = range(seed, seed + seeds)
    sys.exit(
        replay_command.replay(
            file, list(without), seed_range, jobs, plot, bound, list(optional)
        )
    )


@cli.command()
@click.argument("request_id", metavar="ID")
@click.argument("logs", nargs=-1, required=True)
@JSON
def trace(request_id: str, logs: tuple[str, ...], json: bool) -> None:
    """Show the log lines in LOGS of a trace or submission ID, in order."""
    sys.exit(trace_command.trace(request_id, list(logs), json))


@cli.group()
def standin() -> None:
    """Run stand-ins for external systems, for trials and tests."""


@standin.command("platform")
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def standin_platform(host: str, port: int) -> None:
    """Run a stand-in for the platform's table and object store."""
    sys.exit(processes.run_platform(host, port))


@standin.command("upstream")
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--slots", type=int, default=8)
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, default=0)
@click.option("--agent", required=True, metavar="IP:PORT")
def standin_upstream(
    name: str, service: str, slots: int, host: str, port: int, agent: str
) -> None:
    """Run a stand-in for an upstream, which announces itself to an agent."""
    sys.exit(processes.run_upstream(name, service, slots, host, port, agent))


def main() -> None:
    """Run the command line; report known errors on one line."""
    failed = False
    try:
        cli()
    except* BergamotcourseError as group:
        click.echo(f"error: {processes.first_error(group)}", err=True)
        failed = True
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    main()
