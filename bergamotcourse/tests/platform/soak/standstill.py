"""Whether the soak's own process stood still.

Callers, workers, the store and the proxies all live in it. While it stands still an
entry can give its answer in time, and nobody reads it.
"""

import trio

from bergamotcourse.tests.platform.soak.faults import AFTERMATH_SECONDS
from bergamotcourse.tests.platform.soak.records import Harm, Records

LOOK_SECONDS = 0.1

MARGIN_SECONDS = 1.0
"""By so much callers wait longer than they say: a shorter one costs no answer."""


async def watch_standstills(records: Records, entries: list[str]) -> None:
    """Note each standstill as a harm to all callers, until cancelled."""
    while True:
        before = trio.current_time()
        await trio.sleep(LOOK_SECONDS)
        note_standstill(records, entries, before, trio.current_time())


def note_standstill(
    records: Records, entries: list[str], before: float, now: float
) -> None:
    """Note a standstill between two looks, if there was one."""
    if now - before < LOOK_SECONDS + MARGIN_SECONDS:
        return
    records.count("stood still")
    ended_at = now + AFTERMATH_SECONDS
    records.harms += [Harm(entry, before, ended_at) for entry in entries]
