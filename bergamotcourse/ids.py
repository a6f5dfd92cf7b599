"""Names of things that cross process boundaries."""

from typing import NewType

import xxhash

EntryId = NewType("EntryId", str)
AgentId = NewType("AgentId", str)
UpstreamId = NewType("UpstreamId", str)
TeamId = NewType("TeamId", str)
ServiceName = NewType("ServiceName", str)
WorkerName = NewType("WorkerName", str)
RackName = NewType("RackName", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)

Incarnation = NewType("Incarnation", int)
"""Orders the lives of an upstream that starts again under its id; 0 if not told."""

LinkAddress = NewType("LinkAddress", str)
"""Where a process receives messages of other processes, ``tcp://IP:PORT``."""

SubmissionId = NewType("SubmissionId", bytes)
"""Sixteen bytes: the hash of a team and its idempotency key."""

RangeId = NewType("RangeId", int)
"""One of the fixed number of parts of the key space, from 0."""

Epoch = NewType("Epoch", int)
"""Rises by one each time a range changes its owner."""

Attempt = NewType("Attempt", int)
"""Rises by one each time a submission is granted anew after proof of not run."""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the accepted configuration; only rises."""

Token = NewType("Token", int)
"""Issued by an agent; a start must carry a recent one."""


def submission_id(team: TeamId, key: str) -> SubmissionId:
    """Return the identity of the submission that a team names by a key."""
    return SubmissionId(xxhash.xxh3_128_digest(f"{team}\0{key}".encode()))
