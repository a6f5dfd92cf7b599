"""Repetition of start orders, and the verdict that follows from the answers."""

import random

import pytest
import trio

from bergamotcourse.coordination.jobs.lease_terms import UPSTREAM_LEASE_EXPIRY_SECONDS
from bergamotcourse.coordination.jobs.order_sender import (
    MAX_START_ATTEMPTS,
    OrderSender,
)
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import PlaceTask
from bergamotcourse.protocol.upstream_orders import RunKey, StartReply, StartVerdict
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.resources import Resources
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.pause import Pause, VirtualTimers

KEY = RunKey(TaskName("task-1"), 1)
UNKNOWN = StartVerdict.UNKNOWN


class Port:
    """Answers start orders with the given verdicts, in order."""

    def __init__(self, verdicts):
        self.verdicts = list(verdicts)
        self.orders = []
        self.pause = 0.0
        self.on_order = lambda number: None

    async def start(self, order, timeout):
        self.orders.append(order)
        self.on_order(len(self.orders))
        await trio.sleep(self.pause)
        return StartReply(self.verdicts.pop(0))


def order_start(*verdicts, may_start=lambda: True, stopped_at=0):
    """Return the verdict of a start, and the number of unused answers.

    Args:
        verdicts: The answers of the upstream.
        may_start: Passed to the order sender.
        stopped_at: Orders after this number find that a stop is requested; 0 for none.
    """

    async def main():
        port = Port(verdicts)
        order = PlaceTask(KEY, "job", "", Resources(3100), 100, 0.4, 15)
        run = PlacedRun(KEY, LinkAddress("tcp://entry-1"), order, 0.0)
        run.state = RunState.STARTING

        def stop(number):
            run.stop_requested = number > stopped_at > 0

        port.on_order = stop
        life = UpstreamLife(None, port, 0.0, 0.0)
        verdict = await OrderSender(Timers()).start(run, life, may_start, lambda: True)
        return verdict, len(port.verdicts)

    return run_virtual(main, 1)


class TestStartOrder:
    @pytest.mark.parametrize("verdict", [v for v in StartVerdict if v is not UNKNOWN])
    def test_first_answer_is_final(self, verdict):
        assert order_start(verdict, UNKNOWN) == (verdict, 1)

    def test_unanswered_order_is_repeated_up_to_the_limit(self):
        assert order_start(UNKNOWN, StartVerdict.STARTED) == (StartVerdict.STARTED, 0)
        assert order_start(*[UNKNOWN] * MAX_START_ATTEMPTS) == (UNKNOWN, 0)

    @pytest.mark.parametrize(
        "verdict",
        [v for v in StartVerdict if v not in (UNKNOWN, StartVerdict.STARTED)],
    )
    def test_refused_copy_does_not_prove_that_the_first_order_was_not_carried_out(
        self, verdict
    ):
        assert order_start(UNKNOWN, verdict)[0] is UNKNOWN

    @pytest.mark.parametrize("verdict", [StartVerdict.STALE, StartVerdict.NO_ROOM])
    def test_refused_copy_of_a_stopping_run_does_not_prove_it_either(self, verdict):
        """Guards against reporting a run as never started that may have run.

        A start order gets no answer, the run is barred, and the next copy is refused as
        stale because of that. The refusal must not count as proof although the run is
        being stopped.
        """
        assert order_start(UNKNOWN, verdict, stopped_at=1)[0] is UNKNOWN

    def test_names_the_last_end_of_a_lease_that_it_may_not_extend(self):
        """Guards against a lease that a start extends while a stop has no answer."""

        async def main():
            port = Port([StartVerdict.STARTED])
            order = PlaceTask(KEY, "job", "", Resources(3100), 100, 0.4, 15)
            run = PlacedRun(KEY, LinkAddress("tcp://entry-1"), order, 0.0)
            life = UpstreamLife(None, port, 0.0, 0.0)
            until = life.extend_lease(5.0)
            lapses_at = life.lapses_at
            await OrderSender(Timers()).start(
                run, life, lambda: True, may_extend_lease=lambda: False
            )
            assert [order.until for order in port.orders] == [until]
            assert life.lapses_at == lapses_at

        run_virtual(main, 1)

    def test_repeated_order_does_not_extend_the_lease(self):
        async def main():
            port = Port([UNKNOWN] * MAX_START_ATTEMPTS)
            order = PlaceTask(KEY, "job", "", Resources(3100), 100, 0.4, 15)
            run = PlacedRun(KEY, LinkAddress("tcp://entry-1"), order, 0.0)
            life = UpstreamLife(None, port, 0.0, 0.0)
            # On the virtual clock: the machine's clock advances between two readings.
            timers = VirtualTimers(random.Random(1), Pause())
            begun = timers.lease_now()
            port.pause = 0.1
            await OrderSender(timers).start(run, life, lambda: True, lambda: True)
            assert len({copy.until for copy in port.orders}) == 1
            assert life.lapses_at == begun + UPSTREAM_LEASE_EXPIRY_SECONDS

        run_virtual(main, 1)

    def test_no_order_is_sent_after_contact_with_the_entry_is_lost(self):
        assert order_start(UNKNOWN, may_start=lambda: False) == (
            StartVerdict.TOO_LATE,
            1,
        )
        answers = [True, False]
        verdict = order_start(
            UNKNOWN, StartVerdict.STARTED, may_start=lambda: answers.pop(0)
        )
        assert verdict == (UNKNOWN, 1)
