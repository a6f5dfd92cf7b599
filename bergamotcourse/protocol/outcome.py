"""The four final outcomes of a task."""

from enum import Enum


class Outcome(Enum):
    """The final outcome of a task, as reported to the caller.

    Attributes:
        DONE: The task ran and the upstream answered.
        FAILED: The task ran and the upstream answered with an error.
        NOT_RUN: The task is proved not to have started.
        UNKNOWN: The task may have started.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
