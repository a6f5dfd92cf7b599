"""Verification of upstreams before their lives begin.

A report shows only that its sender has existed: it may have been delayed until that has
crashed, or come from another program. An upstream is used once it has answered at its
address. The answer also lists the runs there.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.order_sender import (
    ORDER_RETRY_SECONDS,
    OrderSender,
)
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.upstream_orders import (
    HoldFailure,
    Holding,
    LifeKey,
    UpstreamReport,
)

MAX_CANDIDATES = 8
"""Limit on the upstreams that are asked at the same time, whatever is reported."""

ASKING_SECONDS = 2.0
"""Time after the last report in which an upstream that does not answer is asked again.
Longer than the interval between reports, so that one that reports is asked until it
answers."""

MAX_RETRY_SECONDS = 0.25
"""Limit of the delay between two holds to a candidate, which doubles each time. Where
nobody listens at its address, a hold fails at once."""


@dataclass
class Candidate:
    """An upstream that has reported and not answered yet.

    Attributes:
        life: Its state, which is used from its first answer on.
        ask_until: When to stop asking it, unless it reports again.
        is_recalled: Its report was stored by an earlier process of this agent.
    """

    life: UpstreamLife
    ask_until: float
    is_recalled: bool = False

    def update(self, report: UpstreamReport, now: float) -> None:
        """Apply a further report."""
        if report.sequence >= self.life.report.sequence:
            self.life.report = report
            self.life.reported_at = now
        self.ask_until = now + ASKING_SECONDS


class UpstreamCandidates:
    """The upstreams that have reported and not answered yet.

    Attributes:
        open_life: Returns the state of an upstream that has sent a report.
        adopt: Called with a candidate and its first answer; returns whether it is used
            from now on.
        order_sender: Sends the holds that ask the candidates.
        candidates: The candidates by life and address.
        fenced: The lives that take orders from a later process, which does not end.
    """

    def __init__(
        self,
        open_life: Callable[[UpstreamReport], UpstreamLife],
        adopt: Callable[[Candidate, Holding], Awaitable[bool]],
        order_sender: OrderSender,
        timers: Timers,
        log: EventLog,
    ):
        self.open_life = open_life
        self.adopt = adopt
        self.order_sender = order_sender
        self.timers = timers
        self.log = log
        self.candidates: dict[tuple[LifeKey, str], Candidate] = {}
        self.fenced: set[LifeKey] = set()

    def add(
        self, report: UpstreamReport, nursery: trio.Nursery, is_recalled: bool = False
    ) -> None:
        """Ask the sender of a report, unless it is being asked already.

        Args:
            report: The report.
            nursery: Runs the task that asks.
            is_recalled: The report was stored by an earlier process of this agent.
        """
        if report.life in self.fenced:
            return
        now = self.timers.now()
        key = (report.life, report.address)
        candidate = self.candidates.get(key)
        if candidate is not None:
            candidate.update(report, now)
        elif len(self.candidates) < MAX_CANDIDATES:
            candidate = Candidate(
                self.open_life(report), now + ASKING_SECONDS, is_recalled
            )
            self.candidates[key] = candidate
            nursery.start_soon(self._verify, key, candidate)
        else:
            self._log_unconfirmed(report, "too many upstreams are being asked")

    async def _verify(self, key: tuple[LifeKey, str], candidate: Candidate) -> None:
        is_adopted = False
        try:
            holding = await self._ask(candidate)
            if holding is not None:
                is_adopted = await self.adopt(candidate, holding)
        finally:
            del self.candidates[key]
            if not is_adopted:
                with trio.CancelScope(shield=True):
                    await candidate.life.port.aclose()

    async def _ask(self, candidate: Candidate) -> Holding | None:
        """Return the candidate's answer, or ``None`` if it does not answer."""
        life = candidate.life
        delay = ORDER_RETRY_SECONDS
        while True:
            answer = await self._probe(life)
            match answer:
                case Holding():
                    life.update_clock(answer.clock, self.timers.lease_now())
                    return answer
                case HoldFailure.FENCED:
                    self.fenced.add(life.report.life)
                    break
                case HoldFailure.OTHER_BOOT:
                    break
            if self.timers.now() >= candidate.ask_until:
                break
            await trio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_SECONDS)
        self._log_unconfirmed(life.report, answer.value)
        return None

    async def _probe(self, life: UpstreamLife) -> Holding | HoldFailure:
        """Ask a life once; the answer of another one is ``OTHER_BOOT``.

        A port does not check the incarnation if the report has none.
        """
        answer = await self.order_sender.probe(life)
        if isinstance(answer, Holding) and not answer.may_be_from(life.report.life):
            return HoldFailure.OTHER_BOOT
        return answer

    def _log_unconfirmed(self, report: UpstreamReport, why: str) -> None:
        self.log.write(
            "upstream.unconfirmed",
            upstream=report.id,
            incarnation=report.incarnation,
            address=report.address,
            why=why,
        )
