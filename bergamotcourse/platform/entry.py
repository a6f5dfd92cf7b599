"""Runs an entry on the platform: ``python3 -m bergamotcourse.platform.entry``.

A module for each role and no command line: a start then imports no parser of arguments
and nothing of the other role.
"""

import sys
from collections.abc import Callable

from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.daemons.job_entry import JobEntry
from bergamotcourse.daemons.job_process import run_process
from bergamotcourse.platform.callers import CallersFront, ReadinessFront, UnusedFront
from bergamotcourse.platform.machine import Machine
from bergamotcourse.transport.http import Handler


class EntryMachine(Machine):
    """The platform as an entry sees it; implements ``EntryPlatform``."""

    def callers(self, service: JobService) -> Handler:
        """Return the handler of callers' requests."""
        return CallersFront(service).handle

    def readiness(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the handler that tells whether an entry wants callers."""
        return ReadinessFront(is_ready).handle

    def unused(self) -> Handler:
        """Return the handler of an address that has no use."""
        return UnusedFront().handle


if __name__ == "__main__":
    sys.exit(run_process(JobEntry, EntryMachine()))
