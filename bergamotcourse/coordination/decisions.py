"""Dispatch decisions that trade response time against the number of messages.

Each decision has a switch of its own, so that its effect can be measured alone.
"""

from dataclasses import dataclass

from bergamotcourse.state.manifest import Policy

MESSAGE_COST_RUN_SHARE = 1 / 16
"""Cost of one message at equal weights, as a share of a task's run time."""

MESSAGES_PER_REFUSAL = 2
"""The refusal itself, and the start order that follows it."""

MIN_SLOT_NOTICE_WEIGHT = 0.5
"""Agents send notices of free slots at this response weight and above."""

MAX_REFUSALS = 3
"""A task that this many full agents refused waits at the next agent."""


@dataclass
class Decisions:
    """Switches and weights of an entry's dispatch decisions.

    Attributes:
        response_weight: 1 favours short response times, 0 favours few messages.
        zone_affinity: Prefer agents in the entry's availability zone while that costs
            no response time.
        try_elsewhere: A full agent may refuse a task instead of queueing it.
        call_for_tasks: An agent notifies a waiting entry when a slot becomes free.
        wait_at_agents: Single requests wait at an agent if a slot becomes free there
            sooner than one of this entry's own.
        send_jobs_ahead: Tasks of jobs wait at agents, and are sent and answered in
            batches.
        eject_failing: Agents whose tasks fail get only trial tasks.
        eject_slow: Agents that are slow get only trial tasks.
        admission: Requests that could not be served in time are refused on arrival.
        learn: Measured run times replace the declared ones.
        batch_cancels: Cancellations to one agent are batched into one message.
    """

    response_weight: float = 0.5
    zone_affinity: bool = True
    try_elsewhere: bool = True
    call_for_tasks: bool = True
    wait_at_agents: bool = True
    send_jobs_ahead: bool = True
    eject_failing: bool = True
    eject_slow: bool = True
    admission: bool = True
    learn: bool = True
    batch_cancels: bool = True

    def apply_policy(self, policy: Policy) -> None:
        """Apply the policy of a manifest."""
        self.response_weight = policy.response_weight
        self.zone_affinity = policy.zone_affinity

    def requests_slot_notices(self) -> bool:
        """Return whether agents should send notices of free slots, one message each."""
        return self.call_for_tasks and self.response_weight >= MIN_SLOT_NOTICE_WEIGHT

    def should_queue_when_full(self, refusals: int, slots: int) -> bool:
        """Return whether a task should wait at its agent if that is full.

        Waiting costs the mean time until one of the slots becomes free. A refusal costs
        messages, and a round trip that is negligible.

        Args:
            refusals: How many full agents have refused the task.
            slots: The agent's slots for the service.
        """
        if not self.try_elsewhere or refusals >= MAX_REFUSALS:
            return True
        waiting = self.response_weight / max(1, slots)
        trying = (
            (1 - self.response_weight) * MESSAGES_PER_REFUSAL * MESSAGE_COST_RUN_SHARE
        )
        return waiting < trying
