"""Assignment of reports and departures to lives of an upstream.

A life is the time between one start of an upstream and its end. An upstream may restart
under its id, or another one may replace it, and a message of an earlier life may arrive
after the next life has begun.
"""

from enum import Enum

from bergamotcourse.ids import Incarnation, UpstreamId
from bergamotcourse.protocol.upstream_orders import LifeKey, UpstreamReport


class ReportKind(Enum):
    """Relation of a report to the current life and its last report."""

    CURRENT = "news"
    """The latest report of the current life."""
    OUTDATED = "overtaken"
    """The current life has sent a later report."""
    FORMER_LIFE = "former"
    """The report is of a life that has ended."""
    NEXT_LIFE = "next life"
    """The report is of a life that is not known to have ended."""


class KnownLives:
    """The lives of upstreams that one agent has used.

    Attributes:
        last_incarnations: The last incarnation of each upstream that has been used.
    """

    def __init__(self):
        self.last_incarnations: dict[UpstreamId, Incarnation] = {}

    def record_life(self, life: LifeKey) -> None:
        """Record a life that begins; all earlier lives under its id have ended."""
        self.last_incarnations[life.upstream] = life.incarnation

    def forget_life(self, life: LifeKey) -> None:
        """Remove a life that was replaced and may not have ended."""
        if self.last_incarnations.get(life.upstream) == life.incarnation:
            del self.last_incarnations[life.upstream]

    def classify_report(
        self, present: UpstreamReport | None, report: UpstreamReport
    ) -> ReportKind:
        """Return how a report relates to the current life.

        The id and the sequence number are not enough: an upstream that restarts under
        its id numbers its reports from the start, so they would be ignored as outdated.

        Args:
            present: The last report of the current life; ``None`` without one.
            report: The report to classify.
        """
        if present is not None and present.life == report.life:
            overtaken = report.sequence < present.sequence
            return ReportKind.OUTDATED if overtaken else ReportKind.CURRENT
        known = self.last_incarnations.get(report.id)
        if known is not None and report.incarnation <= known:
            return ReportKind.FORMER_LIFE
        return ReportKind.NEXT_LIFE


def is_departure_of_life(present: LifeKey, gone: LifeKey) -> bool:
    """Return whether a departure is that of the current life.

    A departure without an incarnation is matched by the id alone. If the departure of a
    former life ended the current one, runs that continue would be abandoned.
    """
    return present.upstream == gone.upstream and gone.incarnation in (
        0,
        present.incarnation,
    )
