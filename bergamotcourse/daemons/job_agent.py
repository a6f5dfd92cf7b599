"""The agent of the job dispatcher: runs tasks of entries at one upstream."""

import trio

from bergamotcourse.coordination.jobs.entry_contacts import EntryContacts
from bergamotcourse.coordination.jobs.executor import Executor
from bergamotcourse.coordination.jobs.store_watch import (
    AGENT_ENTRY_POLL_SECONDS,
    EntryRows,
    UpstreamRows,
)
from bergamotcourse.daemons.job_process import Node, job_http_server, link_address
from bergamotcourse.daemons.process import serve_http, wait_until
from bergamotcourse.state.node_settings import NodeSettings

RUN_STOP_RESERVE_SECONDS = 1.2
"""Reserved at the end of the stop time, to stop unfinished runs so that their entries
can place them elsewhere."""

OUTCOME_ACK_SECONDS = 0.5
"""Wait for the entries to acknowledge the last outcomes."""


class JobAgent:
    """An agent process of the job dispatcher."""

    def __init__(self, node: Node):
        self.node = node
        self.executor = Executor(
            lambda report: node.platform.orders(report, node.boot),
            node.timers,
            node.log,
            node.policy,
        )
        self.executor.on_upstream_change = self._upstream_changed
        self.upstreams = UpstreamRows(node.store, node.rng, node.log)
        self.nursery: trio.Nursery | None = None
        self.contacts = EntryContacts(
            node.settings.name,
            node.settings.zone,
            node.boot,
            self.executor,
            node.mailer,
            node.timers,
            node.log,
            node.policy,
        )

    async def run(self, nursery: trio.Nursery) -> None:
        """Start all tasks of the agent in a nursery."""
        node = self.node
        self.contacts.add_entries(node.seeds())
        self.nursery = nursery
        reports = node.platform.reports(self.executor, self._upstream_changed, node.log)
        rows = EntryRows(node.store, node.rng, node.log)
        if node.policy.recalls_upstreams:
            node.start_supervised(nursery, "recall", self._recall_upstream)
        await nursery.start(self.executor.run)
        nursery.start_soon(self.contacts.run)
        nursery.start_soon(serve_http, job_http_server(node.settings.reports, reports))
        node.start_supervised(
            nursery,
            "entries",
            rows.poll_entries,
            self.contacts.add_entries,
            AGENT_ENTRY_POLL_SECONDS,
        )

    async def _recall_upstream(self) -> None:
        """Restore the upstream from the report that the previous process stored."""
        report = await self.upstreams.read_own(self.node.address)
        if report is not None and self.executor.life is None:
            self.upstreams.last_stored = report
            self.executor.recall_upstream(report)

    def _upstream_changed(self) -> None:
        self.contacts.notify_all_entries()
        life = self.executor.life
        if life is not None:
            self.node.start_supervised(
                self.nursery,
                "store report",
                self.upstreams.store_report,
                self.node.address,
                life.report,
            )

    def settings_changed(self, settings: NodeSettings) -> None:
        """Apply changed settings."""
        self.contacts.add_entries([link_address(seed) for seed in settings.seeds])

    async def stop(self) -> None:
        """Wait for runs to finish, stop the rest, and notify the entries."""
        executor = self.executor
        self.node.log.write("agent.stopping", runs=len(executor.registry.runs))
        executor.stopping = True
        executor.registry.return_queued_runs("the agent is stopping")
        self.contacts.notify_all_entries()
        seconds = self.node.settings.stop_seconds - RUN_STOP_RESERVE_SECONDS
        if not await wait_until(lambda: not executor.registry.runs, seconds):
            executor.stop_all_runs("the agent is stopping")
            await wait_until(lambda: not executor.registry.runs, OUTCOME_ACK_SECONDS)
        await wait_until(self.contacts.all_outcomes_acknowledged, OUTCOME_ACK_SECONDS)
        if not executor.registry.runs:
            self.contacts.send_farewells()
