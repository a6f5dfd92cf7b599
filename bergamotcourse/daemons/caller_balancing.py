"""Keeps the callers of an entry balanced by its connections and its readiness.

It carries out what ``CallerBalance`` and ``CallerDrain`` decide. It takes effect only
at an entry whose settings give it less than one core: one with more can carry the
callers of its zone on its own.
"""

import math
import random

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.balancer_checks import BalancerChecks
from bergamotcourse.coordination.jobs.caller_balance import (
    CallerBalance,
    OpenConnection,
)
from bergamotcourse.coordination.jobs.caller_drain import (
    CLOSED_SHARE,
    CallerDrain,
    DrainAction,
    Shortage,
)
from bergamotcourse.coordination.jobs.peers import EntryStatus, Peers
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import ZoneName
from bergamotcourse.transport.http_server import HttpServer

TICK_SECONDS = 0.2
"""Interval between decisions; a tenth of the time over which connections are closed."""

LEAST_UNAFFECTED_CORES = 1.0
"""An entry with as many cores can carry a zone's callers on its own."""


class CallerBalancing:
    """Balances the callers of one entry.

    Attributes:
        enabled: Whether the policy switches it on.
        cores: Processor time of this entry in cores; 0 if it is not specified.
        stopping: Whether a planned stop has begun, which closes all connections.
        checks: The readiness checks that were answered.
        drained: Numbers of the connections chosen to be closed by a drain.
        announced: What all peers that it concerns have been told.
    """

    def __init__(
        self,
        zone: ZoneName,
        peers: Peers,
        processor: ProcessorLag,
        server: HttpServer,
        timers: Timers,
        log: EventLog,
        rng: random.Random,
    ):
        self.zone = zone
        self.peers = peers
        self.processor = processor
        self.server = server
        self.timers = timers
        self.log = log
        self.rng = rng
        self.enabled = True
        self.cores = 0.0
        self.stopping = False
        self.checks = BalancerChecks()
        self.balance = CallerBalance(zone, rng)
        self.drain = CallerDrain(peers.own_address, zone)
        self.drained: set[int] = set()
        self.announced = EntryStatus(zone)
        peers.status = self.status
        timers.every(TICK_SECONDS, "caller balancing", self.tick)

    def is_in_effect(self) -> bool:
        """Return whether this entry balances its callers."""
        return (
            self.enabled
            and not self.stopping
            and 0 < self.cores < LEAST_UNAFFECTED_CORES
        )

    def answer_check(self, ready: bool) -> bool:
        """Return the answer to a readiness check.

        Args:
            ready: Whether the entry is ready apart from a drain.
        """
        now = self.timers.now()
        # A drain must not make the peers send callers back afterwards.
        self.checks.record(now, ready)
        return ready and not (self.is_in_effect() and self.drain.is_unready(now))

    def status(self) -> EntryStatus:
        """Return what this entry tells its peers of itself."""
        now = self.timers.now()
        since = None if self.stopping else self.checks.serving_since(now)
        return EntryStatus(
            self.zone,
            self._shortage().is_short(now),
            self.drain.is_unready(now),
            0 if since is None else int(since * 1000),
            0 if since is None else int((now - since) * 1000),
        )

    async def tick(self) -> None:
        """Decide, and carry out what was decided."""
        if not self.is_in_effect():
            return
        self._rebalance()
        self._update_drain()
        self._announce_changes()

    def _rebalance(self) -> None:
        now = self.timers.now()
        peer = self.balance.find_started_peer(now, self.peers.peers.values())
        if peer is not None:
            plan = self.balance.plan(now, peer, self._open_connections())
            if plan is not None:
                self.log.write(
                    "callers.rebalanced", peer=plan.peer, connections=plan.connections
                )
        due = self.balance.due(now)
        if due:
            self.drained -= due
            self.server.close_after_next_response(due)

    def _update_drain(self) -> None:
        now = self.timers.now()
        peers = self.peers.peers.values()
        match self.drain.update(now, self._shortage(), peers):
            case DrainAction.BEGIN:
                self._log_drain(0)
            case DrainAction.CLOSE:
                self._close_share()
            case DrainAction.END:
                self.log.write("entry.ready_again")
            case DrainAction.RELEASE:
                self.server.keep_open(self.drained)
                self.drained.clear()

    def _close_share(self) -> None:
        candidates = [connection.number for connection in self._open_connections()]
        count = math.ceil(self.server.open_connections * CLOSED_SHARE)
        chosen = self.rng.sample(candidates, min(count, len(candidates)))
        self.drained.update(chosen)
        self.server.close_after_next_response(chosen)
        self._log_drain(len(chosen))

    def _log_drain(self, connections: int) -> None:
        lag_ms = round(self.processor.lag * 1000)
        self.log.write("entry.sheds_callers", connections=connections, lag_ms=lag_ms)

    def _announce_changes(self) -> None:
        """Tell peers at once of a start and of a shortage, which they decide by."""
        status, former = self.status(), self.announced
        self.announced = status
        if status.serving_from != former.serving_from:
            self.peers.announce_status(list(self.peers.peers))
        elif (status.short_of_cpu, status.drains) != (
            former.short_of_cpu,
            former.drains,
        ):
            zone_peers = [
                peer.address
                for peer in self.peers.peers.values()
                if peer.status.zone == self.zone
            ]
            self.peers.announce_status(zone_peers)

    def _shortage(self) -> Shortage:
        return Shortage(self.processor.shedding_since, self.processor.last_shed_at)

    def _open_connections(self) -> list[OpenConnection]:
        """Return the connections that are not to be closed yet."""
        return [
            OpenConnection(connection.number, connection.opened_at)
            for connection in self.server.connections
            if not connection.close_after_response
        ]
