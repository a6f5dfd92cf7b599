"""The interface to the platform's store as used by the job dispatcher."""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from bergamotcourse.errors import StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import ZoneChange


@dataclass(frozen=True)
class ConfigRead:
    """The operator's configuration and zone evacuations, as read from the store.

    Attributes:
        position: Version of the store up to which all its changes are included.
        content: The configuration; ``None`` if there is none or it has not changed.
        zones: The zones that were evacuated or are no longer evacuated.
        is_snapshot: Whether ``zones`` lists every evacuated zone, so that any other
            zone is not evacuated; otherwise ``zones`` is a delta.
        copies: Number of configurations in the store's answer.
    """

    position: int
    content: bytes | None
    zones: tuple[ZoneChange, ...] = ()
    is_snapshot: bool = False
    copies: int = 0


class HistoryGoneError(StepError):
    """The store no longer has the requested changes; a full read is required."""


class ListTooLongError(StepError):
    """A list has more pages than can be read; its first pages are not the whole."""


class JobStore(Protocol):
    """Calls to the store; timeouts are in seconds, and no call is retried."""

    async def read_config(self, timeout: float) -> Result[ConfigRead, StepError]:
        """Return the configuration and all evacuated zones."""

    async def wait_for_config_changes(
        self, after: int, wait: float, timeout: float
    ) -> Result[ConfigRead, StepError]:
        """Return changes of the configuration and the evacuations (long poll).

        Args:
            after: Position after which changes are returned.
            wait: Seconds to wait for a change.
            timeout: Seconds for the answer.

        Returns:
            The changes as a delta; a ``HistoryGoneError`` if the store no longer has
            all changes after the position.
        """

    async def put_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Register an entry."""

    async def remove_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Remove the registration of an entry."""

    async def read_entries(
        self, timeout: float
    ) -> Result[list[LinkAddress], StepError]:
        """Return the registered entries."""

    async def put_upstream(
        self, agent: LinkAddress, report: UpstreamReport, timeout: float
    ) -> Result[None, StepError]:
        """Store the report of an upstream for the next process of its agent."""

    async def read_upstreams(
        self, timeout: float
    ) -> Result[dict[LinkAddress, UpstreamReport], StepError]:
        """Return the last stored report of each agent's upstream, by agent."""

    async def read_upstream(
        self, agent: LinkAddress, timeout: float
    ) -> Result[UpstreamReport | None, StepError]:
        """Return the last stored report of one agent's upstream, if any."""

    async def aclose(self) -> None:
        """Close the connections."""
