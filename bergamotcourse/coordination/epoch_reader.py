"""Loading the epochs of all ranges, which an agent needs before it admits starts.

An agent that replaced an earlier process at the same worker does not know which epochs
that process was ordered to refuse, but the platform's table has them. The agent reads
them after its own row has been written: an entry that raises an epoch later finds the
row and sends the agent a ``Fence``.
"""

from bergamotcourse.coordination.skipped_rows import SkippedRows
from bergamotcourse.protocol.platform import Platform, Row
from bergamotcourse.state.lease_rows import (
    RANGE_PREFIX,
    decode_range_row,
    range_of_key,
)
from bergamotcourse.state.start_log import StartLog


async def read_epochs(
    platform: Platform, start_log: StartLog, skipped_rows: SkippedRows
) -> None:
    """Read the epochs and open the start log if the platform answered.

    Ranges whose rows cannot be decoded stay closed until they are read again.

    Args:
        platform: The platform that has the rows.
        start_log: Receives the epochs.
        skipped_rows: Logs rows that cannot be decoded.
    """
    changes = await platform.read_since(RANGE_PREFIX, 0)
    if changes.is_error():
        return
    unknown_ranges = set()
    for row in changes.ok.rows:
        try:
            range_id = range_of_key(row.key)
        except ValueError as error:
            skipped_rows.log(row, error)
            continue
        try:
            start_log.fence(range_id, _epoch(row))
        except ValueError as error:
            skipped_rows.log(row, error)
            # An earlier process may have been ordered to refuse any epoch.
            unknown_ranges.add(range_id)
    start_log.unknown_ranges = unknown_ranges
    start_log.epochs_loaded = True


def _epoch(row: Row) -> int:
    """Return the epoch in a range's row, 0 if it was deleted.

    Raises:
        ValueError: It cannot be decoded.
    """
    return 0 if row.value is None else decode_range_row(row.value).epoch
