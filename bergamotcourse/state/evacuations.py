"""The availability zones that the operator has evacuated."""

import msgspec

from bergamotcourse.ids import ZoneName


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated zones: no new work is started in them.

    Attributes:
        version: Version of the store's content that this reflects; higher is newer.
        zones: The names of the zones, sorted.
    """

    version: int = 0
    zones: tuple[ZoneName, ...] = ()


class ZoneChange(msgspec.Struct, frozen=True):
    """A zone was evacuated or returned to service.

    Attributes:
        evacuated: Whether the zone was evacuated; false if it returned to service.
        version: Version of the store's content after the change.
    """

    zone: ZoneName
    evacuated: bool
    version: int


def apply_zone_changes(
    before: Evacuations, changes: tuple[ZoneChange, ...]
) -> Evacuations:
    """Apply changes in order, except those not newer than the version reached."""
    version = before.version
    zones = set(before.zones)
    for change in changes:
        if change.version <= version:
            continue
        version = change.version
        if change.evacuated:
            zones.add(change.zone)
        else:
            zones.discard(change.zone)
    return Evacuations(version, tuple(sorted(zones)))
