"""``entry``, ``agent`` and ``standin``: run a daemon or a stand-in."""

import logging

import click
import trio
from expression import Result

from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_issues
from bergamotcourse.daemons.agent import run_agent
from bergamotcourse.daemons.entry import run_entry
from bergamotcourse.daemons.gc_tuning import tune_garbage_collector
from bergamotcourse.errors import BergamotcourseError
from bergamotcourse.standins.platform import serve_platform
from bergamotcourse.standins.upstream import StandInUpstream, serve_upstream
from bergamotcourse.state.settings import ProcessKind, load_settings

RUNNERS = {ProcessKind.ENTRY: run_entry, ProcessKind.AGENT: run_agent}


def run_daemon(kind: ProcessKind, path: str) -> int:
    """Run a daemon with a settings file; return the exit code."""
    logging.basicConfig(level=logging.WARNING)
    match load_settings(path, kind):
        case Result(tag="ok", ok=loaded):
            echo_issues(loaded.warnings, False)
        case Result(error=issues):
            echo_issues(issues, False)
            return ExitCode.INVALID
    tune_garbage_collector()
    return _run_program(RUNNERS[kind], loaded.settings)


def run_platform(host: str, port: int) -> int:
    """Run the stand-in for the platform; return the exit code."""
    return _run_program(serve_platform, host, port)


def run_upstream(
    name: str, service: str, slots: int, host: str, port: int, agent: str
) -> int:
    """Run a stand-in for an upstream; return the exit code."""
    agent_host, _, agent_port = agent.rpartition(":")
    upstream = StandInUpstream(name, service, slots)
    return _run_program(
        serve_upstream, upstream, host, port, agent_host, int(agent_port)
    )


def _run_program(main, *arguments) -> int:
    """Run a program; report expected errors on one line."""
    code = ExitCode.OK
    try:
        trio.run(main, *arguments)
    except* BergamotcourseError as group:
        click.echo(f"error: {first_error(group)}", err=True)
        code = ExitCode.CANNOT_LISTEN
    except* OSError as group:
        click.echo(f"error: {first_error(group)}", err=True)
        code = ExitCode.CANNOT_LISTEN
    except* KeyboardInterrupt:
        code = ExitCode.INTERRUPTED
    return code


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first leaf error of an exception group, which may be nested."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
