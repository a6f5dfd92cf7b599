"""Which life of an upstream a report or a departure is of.

An upstream may start again under its id, and another one may take its place. What a
life has said may arrive when the next one is already there.
"""

from enum import Enum

from bergamotcourse.ids import Incarnation, UpstreamId
from bergamotcourse.protocol.upstream_orders import LifeKey, UpstreamReport


class ReportKind(Enum):
    """What a report says beside what is known."""

    NEWS = "news"
    OVERTAKEN = "overtaken"
    """The life that is here has said something later."""
    FORMER = "former"
    """It is of a life that is over."""
    NEXT_LIFE = "next life"


class KnownLives:
    """The lives of upstreams that one agent has seen.

    Attributes:
        incarnations: The last of each upstream.
    """

    def __init__(self):
        self.incarnations: dict[UpstreamId, Incarnation] = {}

    def begin(self, life: LifeKey) -> None:
        """Note a life that begins; all before it under its id are over."""
        self.incarnations[life.upstream] = life.incarnation

    def judge(
        self, present: UpstreamReport | None, report: UpstreamReport
    ) -> ReportKind:
        """Return what a report says.

        Not by the id and the sequence alone: an upstream that starts again under its id
        counts its reports anew, and they would be passed over as overtaken.

        Args:
            present: The last report of the life that is here.
            report: The one to judge.
        """
        if present is not None and present.life == report.life:
            overtaken = report.sequence < present.sequence
            return ReportKind.OVERTAKEN if overtaken else ReportKind.NEWS
        known = self.incarnations.get(report.id)
        if known is not None and report.incarnation <= known:
            return ReportKind.FORMER
        return ReportKind.NEXT_LIFE


def ends_life(present: LifeKey, gone: LifeKey) -> bool:
    """Return whether a departure is that of the life that is here.

    One that names no incarnation goes by the id. That of a former life, taken for the
    end of this one, would give up runs that go on.
    """
    return present.upstream == gone.upstream and gone.incarnation in (
        0,
        present.incarnation,
    )
