"""Announcement of an accepted version to the entries by the process that submitted it.

The platform may become unavailable right after it accepts a version. The submitting
process therefore sends the version to the entries itself, at the addresses that it
read beforehand.
"""

import random

import trio

from bergamotcourse.coordination.config_exchange import ConfigExchange
from bergamotcourse.coordination.config_store import AcceptedVersion
from bergamotcourse.coordination.config_watch import ConfigWatch
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import ConfigVersion, LinkAddress
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.platform import Platform
from bergamotcourse.state.config_record import NO_VERSION
from bergamotcourse.transport.link import Link

ANNOUNCE_TIMEOUT_SECONDS = 1.5
PEER_VERSIONS_POLL_SECONDS = 0.02


async def announce(
    link: Link,
    platform: Platform,
    entries: list[LinkAddress],
    accepted: AcceptedVersion,
    seconds: float = ANNOUNCE_TIMEOUT_SECONDS,
) -> dict[LinkAddress, ConfigVersion]:
    """Send an accepted version to entries; return the version that each one reports.

    An entry that cannot reach this process still receives the version, but its reply
    is missing, as is that of an entry that takes longer than the timeout. Such an entry
    is returned with the last version known of it, ``NO_VERSION`` at first.

    Args:
        link: The link to send from.
        platform: The platform that accepted the version.
        entries: Addresses of the entries to notify.
        accepted: The accepted version.
        seconds: Timeout for all replies together, in seconds.
    """
    rng = random.Random()
    timers = Timers(rng)
    mailer = Mailer(link, rng=rng)
    watch = ConfigWatch(platform, timers)
    versions = dict.fromkeys(entries, NO_VERSION)
    exchange = ConfigExchange(watch, mailer, timers, lambda: versions, rng)
    mailer.handler = exchange.handle
    mailer.on_envelope = exchange.handle_envelope
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            exchange.nursery = nursery
            nursery.start_soon(mailer.run)
            await link.wait_open()
            watch.adopt(accepted.record, accepted.manifest)
            while (
                min(exchange.known_versions().values(), default=watch.version)
                < watch.version
            ):
                await trio.sleep(PEER_VERSIONS_POLL_SECONDS)
            nursery.cancel_scope.cancel()
    return exchange.known_versions()
