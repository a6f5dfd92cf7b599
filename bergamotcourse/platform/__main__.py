"""Runs an entry or an agent on the platform."""

import os
import sys

import click

from bergamotcourse.daemons.job_agent import JobAgent
from bergamotcourse.daemons.job_entry import JobEntry
from bergamotcourse.daemons.job_process import run_process
from bergamotcourse.platform.adapter import Platform

SETTINGS_VARIABLE = "BERGAMOTCOURSE_CONFIG"
DEFAULT_SETTINGS = "/etc/bergamotcourse/node.conf"


def platform() -> Platform:
    """Return the platform of this machine."""
    return Platform(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))


@click.group()
def cli() -> None:
    """Run bergamotcourse on the platform."""


@cli.command()
def entry() -> None:
    """Run an entry: takes callers' jobs."""
    sys.exit(run_process(JobEntry, platform()))


@cli.command()
def agent() -> None:
    """Run an agent beside a worker."""
    sys.exit(run_process(JobAgent, platform()))


if __name__ == "__main__":
    cli()
