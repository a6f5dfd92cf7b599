"""Text tables."""

from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table whose columns are as wide as their widest cell."""
    cells = [[str(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
