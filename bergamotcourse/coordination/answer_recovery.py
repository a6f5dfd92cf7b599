"""Recovery of the outcome of a submission whose claimant does not respond.

Every agent is queried for the tasks of the submission that it started. The verdict that
nothing was started counts only once no start of the attempt can be admitted any more.
If no agent started a task, and every agent that may have done so has replied, the
submission is proved not run and may be claimed again. If the results of all tasks are
still stored, they are the answer. In all other cases the outcome is unknown.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

import trio
from expression import Result

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.lease_view import MAX_CLOCK_DRIFT_RATIO
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import AgentId, LinkAddress, SubmissionId
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import Bar, BarReply, TaskResult

AGENT_QUERY_TIMEOUT_SECONDS = 0.5
RUNNING_POLL_SECONDS = 0.2
QUERY_ONLY_ATTEMPT = 0
"""Attempt number in a ``Bar`` that queries the start log without barring an attempt."""


class RecoveryVerdict(Enum):
    """State of a submission as proved by the agents' replies.

    Attributes:
        NOT_STARTED: No task was started.
        PARTIAL: Some tasks have results; the others were not started.
        RUNNING: Some tasks are still running.
        FINISHED: All tasks have results.
        CONFLICT: A different request was started under the same key.
        UNPROVED: The replies prove none of the above.
    """

    NOT_STARTED = "not started"
    PARTIAL = "partial"
    RUNNING = "running"
    FINISHED = "finished"
    CONFLICT = "conflict"
    UNPROVED = "unproved"


@dataclass(frozen=True)
class LostSubmission:
    """A submission whose claimant does not respond.

    Attributes:
        tasks: Number of its tasks.
        age_ms: Upper bound of the time since the claim was made, in milliseconds.
    """

    id: SubmissionId
    digest: bytes
    tasks: int
    age_ms: int


@dataclass
class RecoveryFindings:
    """The combined replies of the agents.

    Attributes:
        results: Task results by the task's index.
    """

    verdict: RecoveryVerdict
    results: dict[int, TaskResult] = field(default_factory=dict)


class AnswerRecovery:
    """Queries all agents about one submission.

    Attributes:
        list_agents: Updates the directory from the platform and returns whether the
            platform answered. Entries discover agents through the platform only, so
            after an update every agent that any entry knew before is either in the
            directory or has left.
    """

    def __init__(
        self,
        directory: AgentDirectory,
        list_agents: Callable[[], Awaitable[bool]],
        mailer: Mailer,
        timers: Timers,
    ):
        self.directory = directory
        self.list_agents = list_agents
        self.mailer = mailer
        self.timers = timers

    async def determine_outcome(
        self, lost: LostSubmission, deadline: float
    ) -> RecoveryFindings:
        """Query the agents until no task is running or the deadline is near.

        Args:
            lost: The submission.
            deadline: Seconds on this process's clock.
        """
        query_started = self.timers.now()
        complete = await self.list_agents()
        agents = {view.id: view.address for view in self.directory}
        max_age_seconds = lost.age_ms / 1000 * (1 + MAX_CLOCK_DRIFT_RATIO)
        if self.directory.unavailable_since(query_started - max_age_seconds):
            complete = False
        replies = await self._query_agents(lost, agents)
        proved = complete and all(
            agent in replies and _log_covers_claim(replies[agent], lost.age_ms)
            for agent in agents
        )
        while True:
            findings = _evaluate_replies(lost, list(replies.values()), proved)
            deadline_near = self.timers.now() + RUNNING_POLL_SECONDS >= deadline
            if findings.verdict is not RecoveryVerdict.RUNNING or deadline_near:
                return findings
            await trio.sleep(RUNNING_POLL_SECONDS)
            running = {agent for agent, reply in replies.items() if reply.running}
            replies |= await self._query_agents(lost, {a: agents[a] for a in running})

    async def _query_agents(
        self, lost: LostSubmission, agents: dict[AgentId, LinkAddress]
    ) -> dict[AgentId, BarReply]:
        replies: dict[AgentId, BarReply] = {}

        async def query(agent: AgentId, address: LinkAddress) -> None:
            reply = await self.mailer.request(
                address,
                lambda message_id: Bar(message_id, lost.id, QUERY_ONLY_ATTEMPT),
                AGENT_QUERY_TIMEOUT_SECONDS,
            )
            match reply:
                case Result(tag="ok", ok=BarReply() as answer):
                    replies[agent] = answer
                case _:
                    pass

        async with trio.open_nursery() as nursery:
            for agent, address in agents.items():
                nursery.start_soon(query, agent, address)
        return replies


def _log_covers_claim(reply: BarReply, age_ms: int) -> bool:
    """Return whether the agent's start log reaches back to before the claim."""
    return reply.first or reply.uptime_ms > age_ms * (1 + MAX_CLOCK_DRIFT_RATIO)


def _evaluate_replies(
    lost: LostSubmission, replies: list[BarReply], proved: bool
) -> RecoveryFindings:
    same = [reply for reply in replies if reply.digest in (b"", lost.digest)]
    if len(same) < len(replies) and not any(reply.digest for reply in same):
        return RecoveryFindings(RecoveryVerdict.CONFLICT)
    # An agent may still know an earlier request under a key that was used again.
    replies = same
    started = {index for reply in replies for index in reply.started}
    running = {index for reply in replies for index in reply.running}
    results = {r.index: r for reply in replies for r in reply.results}
    if len(results) == lost.tasks:
        return RecoveryFindings(RecoveryVerdict.FINISHED, results)
    if running - results.keys():
        return RecoveryFindings(RecoveryVerdict.RUNNING, results)
    if not proved or started - results.keys():
        return RecoveryFindings(RecoveryVerdict.UNPROVED, results)
    return RecoveryFindings(
        RecoveryVerdict.PARTIAL if results else RecoveryVerdict.NOT_STARTED, results
    )
