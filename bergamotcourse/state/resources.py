"""Amounts of resources, as needed by tasks and provided by upstreams."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each kind of resource.

    Attributes:
        cpu: CPU time in thousandths of a core.
        memory: Memory in MB.
        accelerators: Number of whole devices.
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
        """Return the maximum of each kind."""
        return Resources(
            max(self.cpu, other.cpu),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, capacity: "Resources") -> bool:
        """Return whether this amount is within ``capacity``."""
        return (
            self.cpu <= capacity.cpu
            and self.memory <= capacity.memory
            and self.accelerators <= capacity.accelerators
        )


NO_RESOURCES = Resources()
