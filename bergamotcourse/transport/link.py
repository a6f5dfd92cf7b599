"""The interface of a link, which carries messages between processes."""

from typing import Protocol

from expression import Result

from bergamotcourse.errors import StepError
from bergamotcourse.ids import LinkAddress


class Link(Protocol):
    """Carries payloads between processes; may lose them, but never truncates them.

    A payload that ``send`` accepted may still be lost, so messages that must arrive
    carry an id and are acknowledged. If ``send`` returns an error, the payload was not
    delivered and will not be.

    Attributes:
        address: Address on which this process receives.
    """

    address: LinkAddress

    async def run(self) -> None:
        """Open the link and serve it until cancelled."""

    async def wait_open(self) -> None:
        """Return once the link receives; ``address`` is then final."""

    async def send(self, peer: LinkAddress, payload: bytes) -> Result[None, StepError]:
        """Submit a payload for sending; wait while the buffer of the peer is full."""

    async def receive(self) -> bytes:
        """Return the next payload received from any peer."""

    def backlog_seconds(self) -> float:
        """Return for how long there have been payloads to receive without a break."""

    def forget(self, peer: LinkAddress) -> None:
        """Release the resources held for a peer that is gone."""
