"""Entry point of an entry: ``python3 -m bergamotcourse.platform.entry``.

Each role has its own module and there is no command line, so that a start imports
neither an argument parser nor the other role's modules.
"""

import sys
from collections.abc import Callable

from bergamotcourse.coordination.jobs.job_service import JobService
from bergamotcourse.daemons.job_entry import JobEntry
from bergamotcourse.daemons.job_process import run_process
from bergamotcourse.platform.callers import (
    CallerRequestHandler,
    ReadinessHandler,
    UnusedAddressHandler,
)
from bergamotcourse.platform.machine import Machine
from bergamotcourse.transport.http import Handler


class EntryMachine(Machine):
    """The platform's adapter for an entry; implements ``EntryPlatform``."""

    def callers(self, service: JobService) -> Handler:
        """Return the HTTP handler of callers' requests."""
        return CallerRequestHandler(service).handle

    def readiness(self, is_ready: Callable[[], bool]) -> Handler:
        """Return the HTTP handler of the balancer's readiness checks."""
        return ReadinessHandler(is_ready).handle

    def unused(self) -> Handler:
        """Return the HTTP handler of an address that must be served but is unused."""
        return UnusedAddressHandler().handle


if __name__ == "__main__":
    sys.exit(run_process(JobEntry, EntryMachine()))
