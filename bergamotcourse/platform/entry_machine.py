"""The platform's adapter for the process of an entry."""

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


def run() -> int:
    """Run an entry, and return the exit code of the process."""
    return run_process(JobEntry, EntryMachine())
