"""Exit codes of the commands, for pipelines."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended.

    Attributes:
        OK: Done; for ``diff``, no difference.
        DIFFERENT: ``diff`` found differences.
        INVALID: The file has errors; nothing was sent.
        LOST_RACE: Another change was accepted since the review; nothing written.
        UNREACHABLE: The other side did not answer; nothing was accepted.
        IN_DOUBT: The platform's answer was lost; the change may be accepted.
        NOT_FOUND: No such version.
        BROKEN: The audit trail has a gap or an altered record.
        CANNOT_LISTEN: A daemon's address is taken or not this machine's.
        FORBIDDEN: No such token, or its role may not do that.
        OVERLOAD: What remains cannot carry the load; nothing was drained.
        FAILED: ``submit``: it ran, and the upstream answered with an error.
        NOT_RUN: ``submit``: proved that nothing of it ran.
        UNKNOWN: ``submit``: it may have run.
        TIMED_OUT: The wait ended first; what was begun goes on.
        NOT_HELD: ``scenario``: what must hold did not.
        INTERRUPTED: A daemon was ended at once by a second SIGINT.
    """

    OK = 0
    DIFFERENT = 1
    INVALID = 2
    LOST_RACE = 3
    UNREACHABLE = 4
    IN_DOUBT = 5
    NOT_FOUND = 6
    BROKEN = 7
    CANNOT_LISTEN = 8
    FORBIDDEN = 9
    OVERLOAD = 10
    FAILED = 11
    NOT_RUN = 12
    UNKNOWN = 13
    TIMED_OUT = 14
    NOT_HELD = 15
    INTERRUPTED = 130
