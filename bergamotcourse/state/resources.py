"""What a task needs of an upstream, and what an upstream has."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each kind of resource.

    Attributes:
        cpu: In thousandths of a core.
        memory: In MB.
        accelerators: Whole devices.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum of two amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference of two amounts; it may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def __or__(self, other: "Resources") -> "Resources":
        """Return the larger amount of each kind."""
        return Resources(
            max(self.cpu, other.cpu),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, room: "Resources") -> bool:
        """Return whether this amount is no more than ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )


NOTHING = Resources()
