"""Loading the epochs of all ranges, which an agent needs before it admits starts.

An agent that replaced an earlier process at the same worker does not know which epochs
that process was ordered to refuse, but the platform's table has them. The agent reads
them after its own row has been written: an entry that raises an epoch later finds the
row and sends the agent a ``Fence``.
"""

import msgspec

from bergamotcourse.protocol.platform import Platform
from bergamotcourse.state.lease_rows import RANGE_PREFIX, RangeRow, range_of_key
from bergamotcourse.state.start_log import StartLog


async def read_epochs(platform: Platform, start_log: StartLog) -> None:
    """Read the epochs and open the start log if the platform answered."""
    changes = await platform.read_since(RANGE_PREFIX, 0)
    if changes.is_error():
        return
    for row in changes.ok.rows:
        if row.value is not None:
            epoch = msgspec.json.decode(row.value, type=RangeRow).epoch
            start_log.fence(range_of_key(row.key), epoch)
    start_log.epochs_loaded = True
