"""Helpers of the tests of admission, ejection and quotas."""

import random

from bergamotcourse.coordination.agents import AgentDirectory
from bergamotcourse.coordination.estimates import RunEstimates
from bergamotcourse.coordination.quotas import Quotas
from bergamotcourse.ids import AgentId, LinkAddress
from bergamotcourse.protocol.messages import AgentState, Health, Offer, UpstreamOffer
from bergamotcourse.state.manifest import Manifest, Team
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest

SERVICE = "voting"
TASK = TaskRequest("POST", "/cast", [], b"")


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_directory(agents, slots=8, zones=1):
    directory = AgentDirectory(silent_seconds=3.0)
    for number in range(agents):
        report_agent(directory, number, slots=slots, zone=f"zone-{number % zones + 1}")
    return directory


def report_agent(directory, number, running=0, own=0, slots=8, zone="zone-1", at=100.0):
    """Add an agent and record a report of its state; return its view."""
    offer = Offer(SERVICE, slots, running, 0, own)
    name, address = f"agent-{number}", LinkAddress(f"tcp://agent-{number}")
    upstream = UpstreamOffer(f"up-{number}", SERVICE, "", "", slots, False)
    state = AgentState(name, 1, zone, "", "", 1 << 40, False, [offer], [upstream], 0, 1)
    directory.add(AgentId(name), address, zone)
    return directory.record_state(address, state, at)


def set_health(view, run_ms=300, failing=0, ended=10):
    view.health[SERVICE] = Health(run_ms, failing, ended)


def make_quotas(clock, entries=1, **limits):
    quotas = Quotas(clock, lambda: entries)
    team = Team(name="getxo", **limits)
    quotas.take_manifest(Manifest(release="r", teams=[team]))
    return quotas


def measured_estimates(run_seconds):
    estimates = RunEstimates()
    for _ in range(200):
        estimates.of(SERVICE).add(run_seconds)
    return estimates


def make_submission(
    tasks=1, kind=SubmissionKind.SESSION, team="getxo", deadline=130.0, weight=1.0
):
    identity = random.randbytes(16)
    work = [TASK] * tasks
    return Submission(identity, kind, team, SERVICE, work, b"", deadline, weight=weight)
