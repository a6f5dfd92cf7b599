"""Results of changes, comparisons and audits, as written out in JSON."""

from dataclasses import dataclass

from bergamotcourse.coordination.config_audit import AuditBroken, AuditIntact
from bergamotcourse.coordination.config_store import (
    Applied,
    ApplyOutcome,
    LostRace,
    Unchanged,
)
from bergamotcourse.state.issues import Issue
from bergamotcourse.state.manifest_diff import Changes


@dataclass(frozen=True)
class AcceptReport:
    """The result of a change.

    Attributes:
        result: ``applied``, ``dry_run``, ``unchanged`` or ``lost_race``.
        version: The resulting version; for a lost race, the version of the winner.
        changes: The changes made; for a lost race, those of others since the review.
        who: The author of the winning change of a lost race.
        reason: The reason given for the winning change.
        when: The time at which the winning change was accepted.
    """

    result: str
    version: int
    changes: Changes
    who: str = ""
    reason: str = ""
    when: str = ""


@dataclass(frozen=True)
class DiffReport:
    """The result of a comparison with the accepted configuration.

    Attributes:
        version: The accepted version, to be passed to ``apply`` as the reviewed one.
        changes: The differences from that version.
    """

    version: int
    changes: Changes


@dataclass(frozen=True)
class ValidReport:
    """The result for a valid manifest file."""

    digest: str
    warnings: list[Issue]


@dataclass(frozen=True)
class VerifyReport:
    """The result of a verification of the audit trail.

    Attributes:
        whole: Whether every record exists and none is altered.
        version: The newest version; if not whole, the first one with a fault.
        detail: What is wrong, or ``whole``.
    """

    whole: bool
    version: int
    detail: str


def accept_report(outcome: ApplyOutcome) -> AcceptReport:
    """Return the report of a change."""
    match outcome:
        case Applied(version, changes, dry_run):
            return AcceptReport("dry_run" if dry_run else "applied", version, changes)
        case Unchanged(version):
            return AcceptReport("unchanged", version, Changes())
        case LostRace(winner, changes):
            return AcceptReport(
                "lost_race",
                winner.version,
                changes,
                winner.who,
                winner.reason,
                winner.when,
            )


def verify_report(found: AuditIntact | AuditBroken) -> VerifyReport:
    """Return the report of a verification of the audit trail."""
    match found:
        case AuditIntact(version):
            return VerifyReport(True, version, "whole")
        case AuditBroken(version, detail):
            return VerifyReport(False, version, detail)
