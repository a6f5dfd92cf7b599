"""Calls for a job after its answer, and cancellations at other entries."""

import random
from dataclasses import dataclass, field

import trio

from bergamotcourse.tests.platform.soak.proxied_cluster import ProxiedCluster
from bergamotcourse.tests.platform.soak.recorded_calls import (
    cancel_job,
    job_of,
    submit_job_again,
)
from bergamotcourse.tests.platform.soak.records import Records
from bergamotcourse.transport.http import HttpRequest

REPEAT_SECONDS = (1.05, 4.0)
"""Time from the answer to a job until it is submitted again."""

CANCEL_DELAY_SECONDS = (0.1, 1.0)
CALL_TIMEOUT_SECONDS = 9.0
OPEN_CONNECTION_SHARE = 0.4
REPEATED_SHARE = 0.5


@dataclass
class RepeatedCalls:
    """What one caller asks of its jobs beside and after its attempts.

    Attributes:
        due: Jobs to submit again on the open connection, with the earliest time.
    """

    cluster: ProxiedCluster
    records: Records
    rng: random.Random
    nursery: trio.Nursery
    due: list[tuple[float, HttpRequest]] = field(default_factory=list)

    def plan(self, request: HttpRequest) -> None:
        """Submit a job again some seconds after its answer."""
        if self.rng.random() >= REPEATED_SHARE:
            return
        at = trio.current_time() + self.rng.uniform(*REPEAT_SECONDS)
        if self.rng.random() < OPEN_CONNECTION_SHARE:
            self.due.append((at, request))
        else:
            self.nursery.start_soon(self._submit_at, at, request)

    def take_due(self) -> tuple[str, HttpRequest] | None:
        """Return a job that is to be submitted again by now, if there is one."""
        for index, (at, request) in enumerate(self.due):
            if at <= trio.current_time():
                del self.due[index]
                self.records.count("submit again")
                return job_of(request), request
        return None

    def cancel_beside(self, request: HttpRequest, entry: str) -> None:
        """Cancel a job soon at another entry than the one on which its caller waits."""
        names = [node.name for node in self.cluster.entries() if node.name != entry]
        where = self.rng.choice(names or [entry])
        self.nursery.start_soon(self._cancel, request, where)

    async def _cancel(self, request: HttpRequest, entry: str) -> None:
        await trio.sleep(self.rng.uniform(*CANCEL_DELAY_SECONDS))
        await cancel_job(self.records, entry, self._address(entry), request)
        self.records.count("cancel elsewhere")

    async def _submit_at(self, at: float, request: HttpRequest) -> None:
        """Submit a job again at any entry, on a new connection."""
        await trio.sleep_until(at)
        entry = self.rng.choice([node.name for node in self.cluster.entries()])
        await submit_job_again(
            self.records, entry, self._address(entry), request, CALL_TIMEOUT_SECONDS
        )

    def _address(self, entry: str) -> tuple[str, int]:
        proxy = self.cluster.proxies[f"front of {entry}"]
        return proxy.host, proxy.port
