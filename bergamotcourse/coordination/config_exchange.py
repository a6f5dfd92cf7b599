"""Exchange of newly accepted configurations between entries.

Each envelope carries the version in force at its sender, and each lease row that of its
holder, so no requests are sent while all versions are equal. An entry that learns of a
version from the platform offers it to the entries that do not have it. An entry that
receives an envelope with a newer version requests that version from the sender.
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from bergamotcourse.coordination.config_watch import ConfigWatch, Snapshot
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    AnyMessage,
    ConfigAsk,
    ConfigHave,
    ConfigOffer,
    ConfigPart,
    ConfigRecords,
    Envelope,
)
from bergamotcourse.state.config_record import NO_VERSION
from bergamotcourse.state.manifest import Manifest

FORWARD_DELAY_SECONDS = 1.0
"""Mean delay before an entry offers a version that it received from another process,
and between the rounds of offers."""

MAX_OFFER_ROUNDS = 4
REPLY_TIMEOUT_SECONDS = 0.5
OUTAGE_REQUEST_PERIOD_SECONDS = 1.5
"""Period of requests to other entries while the platform does not answer."""

SNAPSHOT_PART_BYTES = 256 << 10
"""Maximum size of a part of a snapshot, far below the message limit of the link."""

MAX_RECORDS_BYTES = 256 << 10
"""Maximum total size of records in a message; above it, a snapshot is sent instead."""

MAX_PART_REQUESTS = 64

PeerVersions = Callable[[], dict[LinkAddress, ConfigVersion]]
"""Returns the addresses of the other entries and the version in each lease row."""


class ConfigExchange:
    """Offers, requests and sends configurations.

    Attributes:
        reported_versions: The version last reported by each process.
        last_request_at: Time of the last request to each process, in seconds.
        request_pending: Whether a request for a configuration is in flight.
        adopting_from_peer: Whether the version being put in force came from another
            process rather than from the platform.
        get_peer_versions: Returns the other entries and their versions by the
            platform's rows as last read.
        nursery: Runs offers and requests for newer versions; ``None`` until it is set.
    """

    def __init__(
        self,
        watch: ConfigWatch,
        mailer: Mailer,
        timers: Timers,
        peers: PeerVersions,
        rng: random.Random,
    ):
        self.watch = watch
        self.mailer = mailer
        self.timers = timers
        self.get_peer_versions = peers
        self.rng = rng
        self.reported_versions: dict[LinkAddress, ConfigVersion] = {}
        self.last_request_at: dict[LinkAddress, float] = {}
        self.request_pending = False
        self.adopting_from_peer = False
        self.nursery: trio.Nursery | None = None
        watch.subscribe(self._on_version_in_force)
        timers.every(
            OUTAGE_REQUEST_PERIOD_SECONDS, "configuration ask", self._request_in_outage
        )

    def handle_envelope(self, envelope: Envelope) -> None:
        """Record the version of a sender, and request it if it is newer."""
        sender = LinkAddress(envelope.sender)
        version = ConfigVersion(envelope.config)
        if version != NO_VERSION:
            self.reported_versions[sender] = version
        if version > self.watch.version and not self.request_pending and self.nursery:
            self.request_pending = True
            self.nursery.start_soon(self._request_newer, sender, version)

    def handle(self, sender: LinkAddress, message: ConfigAsk | ConfigOffer) -> None:
        """Handle a request or an offer of another process."""
        match message:
            case ConfigAsk():
                self.mailer.post(sender, self._reply_to_request(message))
            case ConfigOffer(id=message_id, version=version, records=records):
                self._apply_peer_records(ConfigVersion(version), records)
                if message_id:
                    have = ConfigHave(message_id, self.watch.version)
                    self.mailer.post(sender, have)

    def known_versions(self) -> dict[LinkAddress, ConfigVersion]:
        """Return the newest known version of each other entry, by address."""
        return {
            address: max(version, self.reported_versions.get(address, NO_VERSION))
            for address, version in self.get_peer_versions().items()
        }

    def _on_version_in_force(self, version: ConfigVersion, _manifest: Manifest) -> None:
        self.mailer.config_version = version
        if self.nursery is not None:
            self.nursery.start_soon(
                self._offer_to_peers, version, self.adopting_from_peer
            )

    async def _offer_to_peers(self, version: ConfigVersion, from_peer: bool) -> None:
        """Offer a version to every entry not known to have it, in a few rounds.

        Args:
            version: The version to offer.
            from_peer: Whether the version came from another process. The first round
                is then delayed, since that process offers it to the others too.
        """
        for attempt in range(MAX_OFFER_ROUNDS):
            if from_peer or attempt:
                await trio.sleep(FORWARD_DELAY_SECONDS * self.rng.uniform(0.5, 1.5))
            if self.watch.version != version:
                return
            behind = [
                peer for peer, have in self.known_versions().items() if have < version
            ]
            if not behind:
                return
            for peer in behind:
                self.nursery.start_soon(self._offer_to_peer, peer, version)

    async def _offer_to_peer(self, peer: LinkAddress, version: ConfigVersion) -> None:
        have = self.known_versions().get(peer) or version - 1
        records = self._sendable_records_since(ConfigVersion(have)) or []
        reply = await self.mailer.request(
            peer,
            lambda message_id: ConfigOffer(message_id, version, records),
            REPLY_TIMEOUT_SECONDS,
        )
        if reply.is_ok():
            self.reported_versions[peer] = ConfigVersion(reply.ok.version)

    def _apply_peer_records(self, version: ConfigVersion, records: list[bytes]) -> None:
        self.adopting_from_peer = True
        self.watch.apply_records(version, records)
        self.adopting_from_peer = False

    def _apply_peer_snapshot(self, snapshot: Snapshot) -> None:
        self.adopting_from_peer = True
        self.watch.apply_snapshot(snapshot)
        self.adopting_from_peer = False

    async def _request_newer(self, peer: LinkAddress, version: ConfigVersion) -> None:
        try:
            if self.watch.version < version:
                await self._fetch_configuration(peer)
        finally:
            self.request_pending = False

    async def _request_in_outage(self) -> None:
        """Request a configuration from an entry while the platform is unavailable.

        The entry is the one whose last request is the longest ago.
        """
        if self.request_pending or (
            self.watch.read_from_platform and self.watch.last_error is None
        ):
            return
        peers = list(self.get_peer_versions())
        if not peers:
            return
        self.request_pending = True
        try:
            await self._fetch_configuration(
                min(peers, key=lambda p: self.last_request_at.get(p, 0.0))
            )
        finally:
            self.request_pending = False

    async def _fetch_configuration(self, peer: LinkAddress) -> None:
        """Fetch a newer configuration from a process, as records or as a snapshot."""
        self.last_request_at[peer] = self.timers.now()
        content = b""
        version = 0
        for _ in range(MAX_PART_REQUESTS):
            match await self._request_part(peer, version, len(content)):
                case Result(tag="ok", ok=ConfigRecords() as answer):
                    self._apply_peer_records(
                        ConfigVersion(answer.version), answer.records
                    )
                    return
                case Result(tag="ok", ok=ConfigPart() as part):
                    if part.version != version or part.offset != len(content):
                        content = b""
                    version = part.version
                    if part.offset == len(content):
                        content += part.content
                    if len(content) == part.size:
                        self._apply_peer_snapshot(Snapshot(part.record, content))
                        return
                case _:
                    return

    async def _request_part(
        self, peer: LinkAddress, version: int, offset: int
    ) -> Result:
        since = self.watch.version
        return await self.mailer.request(
            peer,
            lambda message_id: ConfigAsk(message_id, since, version, offset),
            REPLY_TIMEOUT_SECONDS,
        )

    def _reply_to_request(self, request: ConfigAsk) -> AnyMessage:
        since = ConfigVersion(request.since)
        if since >= self.watch.version:
            return ConfigRecords(request.id, self.watch.version, [])
        records = None if request.offset else self._sendable_records_since(since)
        if records is not None:
            return ConfigRecords(request.id, self.watch.version, records)
        snapshot = self.watch.snapshot()
        offset = request.offset if request.version == self.watch.version else 0
        return ConfigPart(
            request_id=request.id,
            version=self.watch.version,
            record=snapshot.record,
            offset=offset,
            size=len(snapshot.content),
            content=snapshot.content[offset : offset + SNAPSHOT_PART_BYTES],
        )

    def _sendable_records_since(self, version: ConfigVersion) -> list[bytes] | None:
        """Return the records after a version; ``None`` if missing or too large."""
        records = self.watch.records_since(version)
        if records is None or sum(map(len, records)) > MAX_RECORDS_BYTES:
            return None
        return records
