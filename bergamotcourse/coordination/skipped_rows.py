"""Log of the platform's rows that cannot be decoded."""

from eliot import log_message

from bergamotcourse.errors import StepError
from bergamotcourse.protocol.platform import Row

MAX_LOGGED_KEY_CHARACTERS = 80

MAX_LOGGED_ERROR_CHARACTERS = 200
"""Errors may contain texts of the row."""

MAX_REMEMBERED_ROWS = 1000
"""Rows remembered so that each is logged once; above it some are logged again."""


class SkippedRows:
    """Logs rows that one reader skips, once for each version of a row.

    Attributes:
        logged: Keys and versions of the logged rows.
    """

    def __init__(self):
        self.logged: set[tuple[str, int]] = set()

    def log(self, row: Row, error: ValueError | StepError) -> None:
        """Log a row that cannot be decoded, unless this version of it was logged."""
        known = (row.key, row.version)
        if known in self.logged:
            return
        if len(self.logged) >= MAX_REMEMBERED_ROWS:
            self.logged.clear()
        self.logged.add(known)
        log_message(
            "platform:row_skipped",
            key=row.key[:MAX_LOGGED_KEY_CHARACTERS],
            version=row.version,
            why=str(error)[:MAX_LOGGED_ERROR_CHARACTERS],
        )
