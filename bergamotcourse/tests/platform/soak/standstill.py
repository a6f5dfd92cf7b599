"""Detection of stalls of the soak's own process.

Callers, workers, the store and the proxies all run in this process. While it is
stalled, an entry's response may arrive in time without anyone reading it.
"""

import trio

from bergamotcourse.tests.platform.soak.faults import AFTERMATH_SECONDS
from bergamotcourse.tests.platform.soak.records import Disruption, Records

CHECK_INTERVAL_SECONDS = 0.1

CALLER_GRACE_SECONDS = 1.0
"""Time that callers wait beyond their announced timeout. A stall shorter than this
loses no response."""


async def record_stalls(records: Records, entries: list[str]) -> None:
    """Record each stall as a disruption of all entries, until cancelled."""
    while True:
        before = trio.current_time()
        await trio.sleep(CHECK_INTERVAL_SECONDS)
        record_stall(records, entries, before, trio.current_time())


def record_stall(
    records: Records, entries: list[str], before: float, now: float
) -> None:
    """Record a stall if two consecutive checks are too far apart."""
    if now - before < CHECK_INTERVAL_SECONDS + CALLER_GRACE_SECONDS:
        return
    records.count("stood still")
    ended_at = now + AFTERMATH_SECONDS
    records.disruptions += [Disruption(entry, before, ended_at) for entry in entries]
