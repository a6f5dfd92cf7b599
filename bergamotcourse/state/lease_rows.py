"""Rows of the store that record leases, range owners, agents and journaled claims."""

import msgspec

from bergamotcourse.protocol.outcome import Outcome

LEASE_PREFIX = "lease/"
RANGE_PREFIX = "range/"
AGENT_PREFIX = "agent/"
JOURNAL_PREFIX = "journal/"

HASHED_RANGES = 64
"""Number of ranges that keys are hashed to; higher ones are entries' home ranges."""


class LeaseRow(msgspec.Struct, frozen=True):
    """An entry's lease, which is live as long as its row keeps changing.

    Attributes:
        successor: The only entry that may take over the lease.
        renewals: Number of renewals; each one increments it and so changes the row.
        clock_ms: The entry's clock at the renewal, in milliseconds. The keys that it
            hands out carry times on this clock.
        fenced_by: The entry that took over the lease; empty if none has.
        released: The entry released the lease at a planned stop.
        journaled_ms: Claims made up to this time, on the entry's clock, are in its
            journal.
        unix_ms: The entry's wall clock at ``clock_ms``, in Unix milliseconds.
        config: Version of the configuration in force at the entry.
        demand: Tasks per second that a team requests at the entry, for the teams whose
            share of a limit may not suffice.
    """

    entry: str
    address: str
    zone: str
    successor: str
    renewals: int
    clock_ms: int = 0
    fenced_by: str = ""
    released: bool = False
    config: int = 0
    journaled_ms: int = 0
    unix_ms: int = 0
    demand: dict[str, int] = {}


class RangeRow(msgspec.Struct, frozen=True):
    """The owner of a range.

    Attributes:
        doubtful: The range was taken over, and the owner may not yet know or have
            journaled everything that was started before.
        former: The previous owner, if the range was taken over.
        strict: Promises may still extend the former owner's lease.
    """

    owner: str
    epoch: int
    doubtful: bool = False
    former: str = ""
    strict: bool = False


class AgentRow(msgspec.Struct, frozen=True):
    """An agent that may serve upstreams.

    Attributes:
        boot: Random number of the agent's process.
        left: The agent stopped as planned. The row is kept for a while, because the
            agent's start log is lost with its process.
        services: Services of its upstreams, as known at the time of writing.
    """

    agent: str
    address: str
    zone: str
    rack: str
    worker: str
    boot: int
    left: bool = False
    services: list[str] = []


class JournalRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim as stored in the journal.

    Attributes:
        claimed_ms: Time of the claim in milliseconds, on the clock of the journal's
            writer.
    """

    submission: bytes
    range: int
    digest: bytes
    entry: str
    address: str
    attempt: int
    outcome: Outcome | None
    claimed_ms: int = 0


class JournalRow(msgspec.Struct, frozen=True):
    """A batch of claims, written by the owner of their ranges."""

    records: list[JournalRecord]


def lease_key(entry: str) -> str:
    """Return the key of an entry's lease row."""
    return f"{LEASE_PREFIX}{entry}"


def range_key(range_id: int) -> str:
    """Return the key of a range's row."""
    return f"{RANGE_PREFIX}{range_id:010d}"


def range_of_key(key: str) -> int:
    """Return the range id in the key of a range row."""
    return int(key.removeprefix(RANGE_PREFIX))


def agent_key(agent: str) -> str:
    """Return the key of an agent's row."""
    return f"{AGENT_PREFIX}{agent}"


def journal_prefix(entry: str) -> str:
    """Return the prefix of an owner's journal rows."""
    return f"{JOURNAL_PREFIX}{entry}/"


def journal_key(entry: str, number: int) -> str:
    """Return the key of one journal row."""
    return f"{journal_prefix(entry)}{number:012d}"
