"""Timing constants of the leases that keep two runs of one task from overlapping.

A run depends on two leases. The agent keeps an entry's runs only while it is in contact
with that entry; the upstream keeps all runs only while the agent renews its lease. A
task is placed again only after both leases have certainly expired, so their sum must
stay below the time after which a caller resends a job.
"""

CONTACT_LEASE_SECONDS = 0.45
"""Contact lease of an entry at an agent, from when the agent sent the last message that
the entry has echoed. The agent then stops the entry's runs. Three heartbeats long: one
may be lost, or two may be late."""

HEARTBEAT_SECONDS = 0.15
"""Interval of an agent's messages to an entry that has tasks there."""

IDLE_HEARTBEAT_SECONDS = 0.25
"""Interval of an agent's messages to an entry that recently had tasks there: short
enough that a late one still arrives within ``AGENT_SILENCE_SECONDS``."""

RECENT_ENTRY_SECONDS = 1.0
"""Time after an entry's last task, or after it last waited for room, in which an agent
still reports its load to it as often as before, so that the entry can place tasks
without a handshake."""

IDLE_MESSAGES_PER_SECOND = 16
"""Rate of an agent's messages to all entries without tasks there, so that the cost of
an idle agent does not grow with the number of entries. Four entries get one each every
``IDLE_HEARTBEAT_SECONDS``, 35 entries every 2.2 s."""

FIRST_PLACEMENT_TIMEOUT_SECONDS = 0.1
"""Timeout of a placement at an agent without contact, after which the run is placed
elsewhere. A round trip takes 2 ms, an entry or agent on half a core is delayed by up to
30 ms, and a short job has 130 ms of slack."""

MAX_ACK_DELAY_SECONDS = 0.04
"""Longest delay of an agent's acknowledgement of items, so that a lost item is
retransmitted while a short job can still finish in time. An outcome or a heartbeat
usually carries the acknowledgement earlier."""

MAX_ECHO_DELAY_SECONDS = 0.06
"""Longest delay before an entry echoes a heartbeat; below half a heartbeat interval."""

UPSTREAM_LEASE_SECONDS = 0.65
"""Lease requested from the upstream with each order; three renewals may be lost."""

HOLD_LONG_POLL_SECONDS = 0.1
HOLD_TIMEOUT_SECONDS = 0.2
"""Long poll of a hold for ends of runs, and the upper bound of its answer timeout.
Three that fail fit into ``UPSTREAM_LEASE_SECONDS``."""

MAX_CLOCK_DRIFT = 0.02
"""Share by which an upstream's clock may run slow."""

MAX_STOP_SECONDS = 0.05
"""Longest time that an upstream takes to stop a run."""

TIMER_SLACK_SECONDS = 0.05
"""Margin for late timers and for the transit of the last heartbeat."""

UPSTREAM_LEASE_EXPIRY_SECONDS = (
    UPSTREAM_LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT) + TIMER_SLACK_SECONDS
)
"""Time from the last order that may have renewed an upstream's lease until all runs
there have certainly ended."""

ALL_RUNS_ENDED_SECONDS = (
    CONTACT_LEASE_SECONDS
    + UPSTREAM_LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT)
    + MAX_STOP_SECONDS
    + TIMER_SLACK_SECONDS
)
"""Time from the last message of an agent until all runs that the receiving entry placed
there have ended, even if the agent is lost as well. Must stay below the callers' resend
time of 1.3 s."""

AGENT_SILENCE_SECONDS = 0.4
"""Silence after which an agent gets no more tasks: two heartbeats were lost."""

CONTACT_LOST_SECONDS = CONTACT_LEASE_SECONDS + TIMER_SLACK_SECONDS
"""Silence after which an agent has no contact with this entry, whatever the entry sent
before: a run placed there now starts only after an echo of a later message."""

RETRANSMIT_SECONDS = 0.12
"""Initial retransmission timeout of items. An echo takes up to
``MAX_ECHO_DELAY_SECONDS``, an acknowledgement up to ``MAX_ACK_DELAY_SECONDS``, and a
busy process adds 30 ms. Doubled each time up to ``MAX_RETRANSMIT_SECONDS``."""

MAX_RETRANSMIT_SECONDS = 0.48
"""Limit of the retransmission backoff, which keeps a peer that is short of processor
time from getting ever more to read. Once the peer answers, missing items follow within
this time."""
