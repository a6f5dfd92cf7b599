"""The availability zones that the operator has evacuated."""

import msgspec

from bergamotcourse.ids import ZoneName


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated zones: no new work is started in them.

    Attributes:
        version: Version of the store's content that this reflects; higher is newer.
        zones: The names of the zones, sorted.
        is_complete: Whether all changes up to the version are known to be included. A
            process of an earlier release, which does not say so, may have applied only
            a part of the last transaction.
    """

    version: int = 0
    zones: tuple[ZoneName, ...] = ()
    is_complete: bool = False

    def supersedes(self, other: "Evacuations") -> bool:
        """Return whether this is newer than another set, or corrects it."""
        return (self.version, self.is_complete) > (other.version, other.is_complete)


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
    """Apply changes in order, except those that ``before`` includes.

    Args:
        before: The set of which ``changes`` has all later changes.
        changes: The changes; all those of one transaction have the same version.
    """
    later = [change for change in changes if change.version > before.version]
    if not later:
        return before
    zones = set(before.zones)
    for change in later:
        if change.evacuated:
            zones.add(change.zone)
        else:
            zones.discard(change.zone)
    version = max(change.version for change in later)
    return Evacuations(version, tuple(sorted(zones)), is_complete=True)
