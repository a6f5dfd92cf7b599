"""The times that keep two runs of one task from overlapping, and their sum.

A run lives under two leases. The agent keeps an entry's runs only while it is in
contact with that entry; the upstream keeps all runs only while the agent renews its
lease. Whoever places a task anew waits until both have surely ended, so the sum must
stay below the time after which a caller sends a job again.
"""

CONTACT_SECONDS = 0.45
"""An agent ends the runs of an entry so long after it sent the last message that this
entry has echoed. Three heartbeats: one may be lost, or two come late."""

HEARTBEAT_SECONDS = 0.15
"""Between the messages of an agent to an entry that has tasks there."""

IDLE_HEARTBEAT_SECONDS = 0.25
"""Between the messages of an agent to an entry that had tasks there of late: a late one
still comes within ``SILENT_SECONDS``."""

WARM_SECONDS = 1.0
"""For so long after an entry's last task, or after it has waited for room, an agent
tells it the load as often as before: the entry places without a handshake meanwhile."""

IDLE_MESSAGES_PER_SECOND = 16
"""Of an agent to all the entries that have nothing to do with it. Four entries hear it
each ``IDLE_HEARTBEAT_SECONDS``, 35 each 2.2 s: an idle agent costs the same however
many entries there are."""

OPEN_SECONDS = 0.1
"""An agent without contact that leaves a placement unanswered for so long is passed
over, and the run is placed elsewhere: a round trip takes 2 ms and an entry or agent on
half a core is held up for up to 30 ms, and a short job has 130 ms to spare."""

CONFIRM_SECONDS = 0.04
"""An agent confirms items after this at the latest, so that a lost one is sent again
while a short job can still be in time; an outcome or a heartbeat does it as a rule."""

ECHO_SECONDS = 0.06
"""Longest wait of an entry before it echoes a heartbeat; under half of one."""

UPSTREAM_LEASE_SECONDS = 0.65
"""Asked of the upstream with each order; three renewals may be lost."""

HOLD_WAIT_SECONDS = 0.1
HOLD_TIMEOUT_SECONDS = 0.2
"""A renewal waits so long for news, and so long at most for its answer: three that
fail fit into ``UPSTREAM_LEASE_SECONDS``."""

CLOCK_ERROR = 0.02
"""An upstream's clock may be slow by this share."""

STOP_SECONDS = 0.05
"""The longest that an upstream takes to stop a run."""

SLACK_SECONDS = 0.05
"""For timers that fire late and for the message that carries the last heartbeat."""

LAPSE_SECONDS = UPSTREAM_LEASE_SECONDS * (1 + CLOCK_ERROR) + SLACK_SECONDS
"""From the last order that may have renewed an upstream's lease until all runs there
have certainly ended."""

OVER_SECONDS = (
    CONTACT_SECONDS
    + UPSTREAM_LEASE_SECONDS * (1 + CLOCK_ERROR)
    + STOP_SECONDS
    + SLACK_SECONDS
)
"""From the last message of an agent until all runs of the receiver there are over, even
if the agent is lost as well. Must stay below the callers' resend time of 1.3 s."""

SILENT_SECONDS = 0.4
"""An agent not heard for so long gets no more tasks: two heartbeats were lost."""

REACH_SECONDS = CONTACT_SECONDS + SLACK_SECONDS
"""An agent not heard for so long has no contact with this entry, whatever the entry
sent before: a run placed there now starts only after an echo of a later message."""

RESEND_SECONDS = 0.12
"""Items that were not confirmed within this are sent again: an echo takes
``ECHO_SECONDS`` and a confirmation ``CONFIRM_SECONDS``, and a busy process is late by
30 ms. Doubled each time up to ``MOST_RESEND_SECONDS``."""

MOST_RESEND_SECONDS = 0.48
"""A peer that is short of processor time must not get ever more to read; once it
answers, what it lacks follows within this."""
