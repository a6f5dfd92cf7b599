"""What the job dispatcher keeps in the platform's store, and reads there."""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from bergamotcourse.errors import StepError
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.upstream_orders import UpstreamReport
from bergamotcourse.state.evacuations import ZoneChange


@dataclass(frozen=True)
class ConfigRead:
    """What the operator asks for, as the store holds it.

    Attributes:
        position: Up to where the store's changes are covered.
        content: The configuration; ``None`` where there is none, or it has not changed.
        zones: The zones that are evacuated or taken back.
        is_whole: No zone is evacuated but those of ``zones``.
        copies: Configurations that the store's answer has.
    """

    position: int
    content: bytes | None
    zones: tuple[ZoneChange, ...] = ()
    is_whole: bool = False
    copies: int = 0


class HistoryGoneError(StepError):
    """The store has forgotten what changed: the configuration is to be read anew."""


class JobStore(Protocol):
    """The store's calls; each has a timeout in seconds, and none is repeated."""

    async def read_config(self, timeout: float) -> Result[ConfigRead, StepError]:
        """Return the configuration, and all zones that are evacuated."""

    async def config_changes(
        self, after: int, wait: float, timeout: float
    ) -> Result[ConfigRead, StepError]:
        """Return what of these changes within ``wait`` seconds."""

    async def put_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Make an entry known."""

    async def remove_entry(
        self, address: LinkAddress, timeout: float
    ) -> Result[None, StepError]:
        """Withdraw an entry."""

    async def read_entries(
        self, timeout: float
    ) -> Result[list[LinkAddress], StepError]:
        """Return the entries that have made themselves known."""

    async def put_upstream(
        self, agent: LinkAddress, report: UpstreamReport, timeout: float
    ) -> Result[None, StepError]:
        """Keep the report of an upstream for the next process of its agent."""

    async def read_upstreams(
        self, timeout: float
    ) -> Result[dict[LinkAddress, UpstreamReport], StepError]:
        """Return the upstreams by agent, as last reported."""

    async def read_upstream(
        self, agent: LinkAddress, timeout: float
    ) -> Result[UpstreamReport | None, StepError]:
        """Return the upstream of one agent, as last reported."""

    async def aclose(self) -> None:
        """Close the connections."""
