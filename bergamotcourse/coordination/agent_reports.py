"""Reports of an agent's state and load to the attached entries.

The full state is sent when an entry attaches and after a change. Otherwise only the
load is sent: with each result, and as a heartbeat to an entry without recent results.
"""

from dataclasses import dataclass

from bergamotcourse.coordination.timers import Timers
from bergamotcourse.coordination.upstreams import UpstreamSet
from bergamotcourse.ids import (
    AgentId,
    ConfigVersion,
    LinkAddress,
    RackName,
    UpstreamId,
    WorkerName,
    ZoneName,
)
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    AgentLoad,
    AgentState,
    Health,
    Offer,
    UpstreamOffer,
)
from bergamotcourse.state.config_record import NO_VERSION
from bergamotcourse.state.start_log import StartLog

OFFERED_COUNTS = 3
"""Number of load counts in an ``Offer``: running, waiting and mine."""

OWN_COUNT_INDEX = 2
"""Index of the count of the entry's own tasks (mine) in the load counts."""

IDLE_REPORT_HEARTBEATS = 2
"""Heartbeats between reports to an entry without a task at this agent."""

ATTACHMENT_TIMEOUT_HEARTBEATS = 30
"""Heartbeats without a message after which an entry is detached."""

RUN_TIME_TOLERANCE_SHARE = 0.2
"""Relative change of the run time below which the load need not be reported again."""


@dataclass(frozen=True)
class AgentLocation:
    """Name and location of an agent."""

    id: AgentId
    zone: ZoneName
    rack: RackName = RackName("")
    worker: WorkerName = WorkerName("")


@dataclass
class Attachment:
    """An entry that receives this agent's reports.

    Attributes:
        entry: Name of the entry.
        last_received_at: Time of its last message, in seconds.
        last_reported_at: Time of the last report to it, in seconds.
        reported_number: Number of the full state that it was sent last; 0 for none.
        reported_load: The load that it was sent last.
    """

    entry: str
    address: LinkAddress
    last_received_at: float
    last_reported_at: float = 0.0
    reported_number: int = 0
    reported_load: AgentLoad | None = None


class AgentReports:
    """Reports an agent's state and load to the attached entries.

    Attributes:
        number: Number of the state; rises with each change of anything but the load.
        reported_state: The state that ``number`` stands for.
        closed_version: The version of the configuration by which upstreams are closed.
        leaving: Whether the agent refuses new starts because of a planned stop.
        load_of: Returns the running, waiting, own and waiting job tasks for a service
            and an entry.
        health_of: Returns the health of the tasks of a service.
    """

    def __init__(
        self,
        location: AgentLocation,
        boot: int,
        upstreams: UpstreamSet,
        start_log: StartLog,
        mailer: Mailer,
        timers: Timers,
        heartbeat_seconds: float,
    ):
        self.location = location
        self.boot = boot
        self.upstreams = upstreams
        self.start_log = start_log
        self.mailer = mailer
        self.timers = timers
        self.heartbeat_seconds = heartbeat_seconds
        self.attachments: dict[LinkAddress, Attachment] = {}
        self.number = 0
        self.reported_state: tuple | None = None
        self.closed_version = NO_VERSION
        self.leaving = False
        self.load_of = lambda _service, _entry: (0, 0, 0, 0)
        self.health_of = lambda _service: Health(0, 0, 0)

    def attach(
        self, entry: str, address: LinkAddress, known_state_number: int = 0
    ) -> None:
        """Report to an entry from now on, and at once unless it is up to date.

        Args:
            entry: Name of the entry.
            address: Its link address.
            known_state_number: Number of the state that it has; 0 for none.
        """
        known = self.attachments.get(address)
        now = self.timers.now()
        self.attachments[address] = Attachment(
            entry, address, now, reported_number=known_state_number
        )
        if known is None or known_state_number != self.number:
            self.report_to(address)
        else:
            self.attachments[address].last_reported_at = known.last_reported_at

    def detach(self, address: LinkAddress) -> None:
        """Stop reporting to an entry."""
        self.attachments.pop(address, None)

    def record_contact(self, address: LinkAddress) -> None:
        """Record the time of a message from an entry."""
        attachment = self.attachments.get(address)
        if attachment is not None:
            attachment.last_received_at = self.timers.now()

    def close_upstreams(self, version: ConfigVersion, upstreams: list[str]) -> bool:
        """Close the named upstreams and open the others; false for an old version."""
        if version < self.closed_version:
            return False
        self.closed_version = version
        self.upstreams.set_closed({UpstreamId(name) for name in upstreams})
        return True

    def report_to(self, entry: LinkAddress) -> None:
        """Report the load to one entry, or the full state if it lacks that."""
        self.update_number()
        attachment = self.attachments.get(entry)
        if attachment is not None:
            attachment.last_reported_at = self.timers.now()
            attachment.reported_load = self._load_message(entry)
            if attachment.reported_number == self.number:
                self.mailer.post(entry, attachment.reported_load)
                return
            attachment.reported_number = self.number
        self.mailer.post(entry, self.state(entry))

    def load_for_result(self, entry: LinkAddress) -> AgentLoad | None:
        """Return the load to attach to a result, or ``None`` if the entry knows it.

        If the entry lacks the current state, the full state is sent separately.
        """
        self.update_number()
        attachment = self.attachments.get(entry)
        if attachment is None or attachment.reported_number != self.number:
            self.report_to(entry)
            return None
        load = self._load_message(entry)
        age = self.timers.now() - attachment.last_reported_at
        if age < self.heartbeat_seconds / 2 and _is_already_known(
            load, attachment.reported_load
        ):
            return None
        attachment.last_reported_at = self.timers.now()
        attachment.reported_load = load
        return load

    def report_to_all(self) -> None:
        """Report to all attached entries."""
        for address in list(self.attachments):
            self.report_to(address)

    def send_heartbeats(self) -> None:
        """Report to entries without a recent report; detach those that are silent."""
        now = self.timers.now()
        silent = ATTACHMENT_TIMEOUT_HEARTBEATS * self.heartbeat_seconds
        for address, attachment in list(self.attachments.items()):
            if now - attachment.last_received_at > silent:
                del self.attachments[address]
            elif now - attachment.last_reported_at >= self._report_interval(address):
                self.report_to(address)

    def _report_interval(self, entry: LinkAddress) -> float:
        """Return the seconds between reports to an entry."""
        services = self.upstreams.services()
        busy = any(
            self.load_of(service, entry)[OWN_COUNT_INDEX] for service in services
        )
        return self.heartbeat_seconds * (1 if busy else IDLE_REPORT_HEARTBEATS)

    def state(self, entry: LinkAddress) -> AgentState:
        """Return the full state to report to an entry."""
        offers = [
            Offer(
                service,
                self.upstreams.slots(service),
                *self.load_of(service, entry)[:OFFERED_COUNTS],
            )
            for service in self.upstreams.services()
        ]
        return AgentState(
            agent=self.location.id,
            boot=self.boot,
            zone=self.location.zone,
            rack=self.location.rack,
            worker=self.location.worker,
            token=self.start_log.issue_token(self.timers.now_ms()),
            leaving=self.leaving,
            offers=offers,
            upstreams=self._upstream_offers(),
            closed_version=self.closed_version,
            number=self.number,
        )

    def _load_message(self, entry: LinkAddress) -> AgentLoad:
        services = self.upstreams.services()
        loads = [self.load_of(service, entry) for service in services]
        token = self.start_log.issue_token(self.timers.now_ms())
        health = [self.health_of(service) for service in services]
        return AgentLoad(self.number, token, loads, health)

    def _upstream_offers(self) -> list[UpstreamOffer]:
        return [
            UpstreamOffer(
                id=one.id,
                service=one.service,
                zone="" if one.zone == self.location.zone else one.zone,
                release=one.release,
                slots=one.slots,
                closed=one.closed,
            )
            for one in self.upstreams.upstreams.values()
            if not one.leaving
        ]

    def update_number(self) -> bool:
        """Increment the number if more than the load changed; return whether it did."""
        now = (self.leaving, self.closed_version, self._upstream_offers())
        if now == self.reported_state:
            return False
        self.reported_state = now
        self.number += 1
        return True


def _is_already_known(load: AgentLoad, reported: AgentLoad | None) -> bool:
    """Return whether a load adds nothing to the one reported before.

    The entry counts its own tasks, so these are left out of the comparison.
    """
    return (
        reported is not None
        and _load_of_others(load) == _load_of_others(reported)
        and len(load.health) == len(reported.health)
        and all(map(_is_similar_health, load.health, reported.health))
    )


def _load_of_others(load: AgentLoad) -> list[tuple[int, int]]:
    """Return, by service, the tasks of other entries and all waiting job tasks."""
    return [
        (running + waiting - mine, jobs) for running, waiting, mine, jobs in load.loads
    ]


def _is_similar_health(health: Health, reported: Health) -> bool:
    """Return whether nothing fails and the run time is close to the reported one."""
    change = abs(health.run_ms - reported.run_ms)
    return (
        not health.failing
        and not reported.failing
        and change <= RUN_TIME_TOLERANCE_SHARE * reported.run_ms
    )
