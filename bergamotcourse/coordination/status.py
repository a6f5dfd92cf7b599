"""Status of an entry, taken from its local state without sending messages."""

from collections import Counter
from dataclasses import asdict

from bergamotcourse.coordination.agents import AgentView
from bergamotcourse.coordination.entry import Entry
from bergamotcourse.coordination.ownership import RangeState
from bergamotcourse.coordination.permits import Permits
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.status import (
    AgentStatus,
    ConfigStatus,
    EntryStatus,
    LeaseStatus,
    PeerStatus,
    QueueStatus,
    RangeStatus,
    ServiceLoad,
    UpstreamStatus,
)
from bergamotcourse.state.lease_rows import HASHED_RANGES

TIME_DECIMALS = 3
"""Decimal places of times in seconds."""


def entry_status(entry: Entry) -> EntryStatus:
    """Return an entry's status."""
    return EntryStatus(
        id=entry.id,
        zone=entry.options.zone,
        ready=entry.ready(),
        stopping=entry.stopping,
        config=_config(entry),
        lease=_lease(entry),
        ranges=_ranges(entry),
        agents=_agents(entry),
        entries=_peers(entry),
        queues=_queues(entry),
        retry_budget=round(entry.dispatcher.budget.balance, 1),
        counters=entry_counters(entry),
    )


def entry_counters(entry: Entry) -> dict[str, int]:
    """Return an entry's counters since its start, by name."""
    dispatch = asdict(entry.dispatcher.counters)
    outcomes = dispatch.pop("outcomes")
    claims = asdict(entry.claims.counters)
    counters = {f"outcome.{name}": count for name, count in outcomes.items()}
    counters |= {f"claim.{name}": count for name, count in claims.items()}
    counters |= {
        f"dispatch.{name}": count
        for name, count in dispatch.items()
        if isinstance(count, int)
    }
    return dict(sorted((counters | link_counters(entry.mailer)).items()))


def link_counters(mailer: Mailer) -> dict[str, int]:
    """Return a process's counters of messages sent and received, by name."""
    counters = mailer.counters
    return {
        "link.messages_sent": sum(counters.sent.values()),
        "link.messages_received": sum(counters.received.values()),
        "link.batches_sent": counters.batches_sent,
        "link.batches_received": counters.batches_received,
        "link.bytes_sent": counters.bytes_sent,
        "link.bytes_received": counters.bytes_received,
        "link.dropped": counters.dropped,
        "link.undecodable": counters.undecodable,
        "link.late_replies": counters.late_replies,
    }


def agents_by_health(status: EntryStatus) -> Counter[str]:
    """Return the number of agents in an entry's status, by health."""
    return Counter(agent.health for agent in status.agents)


def _config(entry: Entry) -> ConfigStatus:
    config = entry.config
    error = str(config.last_error) if config.last_error else ""
    return ConfigStatus(config.version, config.manifest.release, config.ready, error)


def _lease(entry: Entry) -> LeaseStatus:
    lease = entry.lease
    left = max(0.0, lease.valid_until() - entry.timers.now())
    return LeaseStatus(lease.state.value, round(left, TIME_DECIMALS), lease.successor)


def _ranges(entry: Entry) -> RangeStatus:
    owned = entry.ownership.owned
    hashed = sorted(range_id for range_id in owned if range_id < HASHED_RANGES)
    recovering = sorted(
        range_id
        for range_id, one in owned.items()
        if one.state is RangeState.RECOVERING
    )
    return RangeStatus(hashed, recovering, entry.ownership.home in owned)


def _agents(entry: Entry) -> list[AgentStatus]:
    views = sorted(entry.directory, key=lambda view: view.id)
    return [_agent(entry, view) for view in views]


def _agent(entry: Entry, view: AgentView) -> AgentStatus:
    now = entry.timers.now()
    services = [
        ServiceLoad(name, offer.slots, view.load(name), view.own_tasks(name))
        for name, offer in sorted(view.offers.items())
    ]
    heard = (
        round(now - view.last_received_at, TIME_DECIMALS)
        if view.last_received_at
        else None
    )
    return AgentStatus(
        id=view.id,
        zone=view.zone,
        rack=view.rack,
        worker=view.worker,
        health=entry.directory.health(view, now).value,
        drained=entry.directory.drains.covers(view),
        heard_seconds=heard,
        services=services,
        upstreams=_upstreams(view, entry.directory.permits),
    )


def _upstreams(view: AgentView, permits: Permits | None) -> list[UpstreamStatus]:
    if view.state is None:
        return []
    return [
        UpstreamStatus(
            id=one.id,
            service=one.service,
            release=one.release,
            slots=one.slots,
            closed=one.closed
            or (permits is not None and not permits.allows(view, one)),
        )
        for one in view.state.upstreams
    ]


def _peers(entry: Entry) -> list[PeerStatus]:
    versions = entry.exchange.known_versions()
    return [
        PeerStatus(
            id=name,
            zone=seen.row.zone,
            alive=entry.view.is_alive(name),
            config_version=versions.get(LinkAddress(seen.row.address)) or None,
        )
        for name, seen in sorted(entry.view.leases.items())
        if name != entry.id
    ]


def _queues(entry: Entry) -> list[QueueStatus]:
    return [
        QueueStatus(service, queue.singles.size, queue.jobs.size)
        for service, queue in sorted(entry.dispatcher.queues.items())
    ]
