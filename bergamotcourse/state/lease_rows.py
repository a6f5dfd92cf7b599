"""Rows of the store that record leases, range owners, agents and journaled claims."""

import re

import msgspec

from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.addresses import is_port
from bergamotcourse.state.decoding import decode_document
from bergamotcourse.state.ranges import Amount, Count, Integer, Name

LEASE_PREFIX = "lease/"
RANGE_PREFIX = "range/"
AGENT_PREFIX = "agent/"
JOURNAL_PREFIX = "journal/"

HASHED_RANGES = 64
"""Number of ranges that keys are hashed to; higher ones are entries' home ranges."""

RANGE_ID_PATTERN = re.compile(r"[0-9]{1,18}")


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

    entry: Name
    address: Name
    zone: Name
    successor: Name
    renewals: Count
    clock_ms: Integer = 0
    fenced_by: Name = ""
    released: bool = False
    config: Count = 0
    journaled_ms: Integer = 0
    unix_ms: Integer = 0
    demand: dict[Name, Amount] = {}


class RangeRow(msgspec.Struct, frozen=True):
    """The owner of a range.

    Attributes:
        doubtful: The range was taken over, and the owner may not yet know or have
            journaled everything that was started before.
        former: The previous owner, if the range was taken over.
        strict: Promises may still extend the former owner's lease.
    """

    owner: Name
    epoch: Count
    doubtful: bool = False
    former: Name = ""
    strict: bool = False


class AgentRow(msgspec.Struct, frozen=True):
    """An agent that may serve upstreams.

    Attributes:
        boot: Random number of the agent's process.
        left: The agent stopped as planned. The row is kept for a while, because the
            agent's start log is lost with its process.
        services: Services of its upstreams, as known at the time of writing.
    """

    agent: Name
    address: Name
    zone: Name
    rack: Name
    worker: Name
    boot: Integer
    left: bool = False
    services: list[Name] = []


class JournalRecord(msgspec.Struct, frozen=True, array_like=True):
    """A claim as stored in the journal.

    Attributes:
        claimed_ms: Time of the claim in milliseconds, on the clock of the journal's
            writer.
    """

    submission: bytes
    range: Integer
    digest: bytes
    entry: Name
    address: Name
    attempt: Count
    outcome: Outcome | None
    claimed_ms: Integer = 0


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
    """Return the range id in the key of a range row.

    Raises:
        ValueError: The key has no range id.
    """
    text = key.removeprefix(RANGE_PREFIX)
    if not RANGE_ID_PATTERN.fullmatch(text):
        raise ValueError("the key names no range")
    return int(text)


def agent_key(agent: str) -> str:
    """Return the key of an agent's row."""
    return f"{AGENT_PREFIX}{agent}"


def journal_prefix(entry: str) -> str:
    """Return the prefix of an owner's journal rows."""
    return f"{JOURNAL_PREFIX}{entry}/"


def journal_key(entry: str, number: int) -> str:
    """Return the key of one journal row."""
    return f"{journal_prefix(entry)}{number:012d}"


_lease_decoder = msgspec.json.Decoder(LeaseRow)
_range_decoder = msgspec.json.Decoder(RangeRow)
_agent_decoder = msgspec.json.Decoder(AgentRow)
_journal_decoder = msgspec.msgpack.Decoder(JournalRow)


def decode_lease_row(key: str, value: bytes) -> LeaseRow:
    """Return the lease in a row.

    Raises:
        ValueError: It is malformed, or is the lease of another entry than the key says.
    """
    row = decode_document(_lease_decoder, value)
    if lease_key(row.entry) != key:
        raise ValueError("the lease of another entry")
    _check_port(row.address)
    return row


def decode_range_row(value: bytes) -> RangeRow:
    """Return the owner of a range in a row.

    Raises:
        ValueError: It is malformed.
    """
    return decode_document(_range_decoder, value)


def decode_agent_row(key: str, value: bytes) -> AgentRow:
    """Return the agent in a row.

    Raises:
        ValueError: It is malformed, or is another agent than the key says.
    """
    row = decode_document(_agent_decoder, value)
    if agent_key(row.agent) != key:
        raise ValueError("the row of another agent")
    _check_port(row.address)
    return row


def decode_journal_row(value: bytes) -> JournalRow:
    """Return the claims in a row of a journal.

    Raises:
        ValueError: It is malformed.
    """
    return decode_document(_journal_decoder, value)


def _check_port(address: str) -> None:
    """Raise ``ValueError`` if a link address has a port that is out of range."""
    _, has_port, port = address.partition("://")[2].rpartition(":")
    if has_port and not is_port(port):
        raise ValueError("the address has a port out of range")
