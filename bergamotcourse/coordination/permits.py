"""Decides which upstreams may get new tasks under the configuration in force.

Entries decide this, because they follow the configuration, are few, and send all tasks.
An agent is notified only of its own upstreams that are closed to new tasks, so that it
also refuses tasks that wait in its queue and tasks from an entry with an older version.
"""

from fnmatch import fnmatchcase

from msgspec.structs import replace

from bergamotcourse.coordination.drains import Drains, Place
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.messages import AgentState, Offer, UpstreamOffer
from bergamotcourse.state.config_record import EMPTY_MANIFEST, NO_VERSION
from bergamotcourse.state.manifest import Manifest, UpstreamRule


class Permits:
    """The upstream rules and the drains of one configuration version.

    Attributes:
        version: The version of the configuration.
        drains: Its drains.
        rules: Its upstream rules, by service.
    """

    def __init__(
        self, version: ConfigVersion = NO_VERSION, manifest: Manifest = EMPTY_MANIFEST
    ):
        self.version = version
        self.drains = Drains(manifest.policy.drains)
        self.rules: dict[str, list[UpstreamRule]] = {}
        for rule in manifest.upstreams:
            for service in rule.services:
                self.rules.setdefault(service, []).append(rule)

    def allows(self, place: Place, upstream: UpstreamOffer) -> bool:
        """Return whether an upstream may get new tasks, given its agent's location."""
        if self.drains.covers(place):
            return False
        if self.drains.covers_upstream(upstream.id, upstream.release):
            return False
        zone = upstream.zone or place.zone
        rules = self.rules.get(upstream.service, [])
        return any(_matches(rule, upstream.id, zone) for rule in rules)

    def offers(self, state: AgentState) -> dict[str, Offer]:
        """Return an agent's offers with only the slots that may get new tasks."""
        slots = dict.fromkeys((offer.service for offer in state.offers), 0)
        for one in state.upstreams:
            if not one.closed and self.allows(state, one):
                slots[one.service] = slots.get(one.service, 0) + one.slots
        return {
            offer.service: replace(offer, slots=slots[offer.service])
            for offer in state.offers
        }

    def closed(self, place: Place, upstreams: list[UpstreamOffer]) -> list[str]:
        """Return the ids of the upstreams that may not get new tasks, sorted."""
        return sorted(u.id for u in upstreams if not self.allows(place, u))


def _matches(rule: UpstreamRule, upstream: str, zone: str) -> bool:
    if rule.zones and zone not in rule.zones:
        return False
    return any(fnmatchcase(upstream, pattern) for pattern in rule.upstreams)
