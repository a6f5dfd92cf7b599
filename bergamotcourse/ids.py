"""Identifier types shared between processes."""

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
"""Increases with each restart of an upstream under the same id; 0 if not reported."""

LinkAddress = NewType("LinkAddress", str)
"""Address at which a process receives messages, such as ``tcp://IP:PORT``."""

SubmissionId = NewType("SubmissionId", bytes)
"""Sixteen bytes: the hash of a team and its idempotency key."""

RangeId = NewType("RangeId", int)
"""Index of a range of the key space, from 0; the number of ranges is fixed."""

Epoch = NewType("Epoch", int)
"""Increases by one each time a range changes its owner."""

Attempt = NewType("Attempt", int)
"""Increases by one each time a submission is granted again after it provably did not
run."""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the accepted configuration; it only increases."""

Token = NewType("Token", int)
"""Token issued by an agent; a start must carry a recent one."""

LifeChecksum = NewType("LifeChecksum", int)
"""Tells one life of an upstream from others in messages."""

NO_LIFE = LifeChecksum(0)


def submission_id(team: TeamId, key: str) -> SubmissionId:
    """Return the identity of the submission of a team under an idempotency key."""
    return SubmissionId(xxhash.xxh3_128_digest(f"{team}\0{key}".encode()))
