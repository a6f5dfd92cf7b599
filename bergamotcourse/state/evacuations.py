"""The availability zones that the operator has evacuated."""

import msgspec

from bergamotcourse.ids import ZoneName


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The zones in which nothing more is started.

    Attributes:
        version: Of the store's content that this tells of; the higher one is newer.
        zones: The zones, in order of name.
    """

    version: int = 0
    zones: tuple[ZoneName, ...] = ()


class ZoneChange(msgspec.Struct, frozen=True):
    """One zone was evacuated, or taken back.

    Attributes:
        version: Of the store once it was.
    """

    zone: ZoneName
    evacuated: bool
    version: int


def apply_changes(before: Evacuations, changes: tuple[ZoneChange, ...]) -> Evacuations:
    """Return the zones after changes in their order; those known already are left."""
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
