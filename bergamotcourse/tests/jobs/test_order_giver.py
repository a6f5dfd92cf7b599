"""Orders that are repeated, and what their answers say together."""

import pytest
import trio

from bergamotcourse.coordination.jobs.lease_terms import LAPSE_SECONDS
from bergamotcourse.coordination.jobs.order_giver import START_ATTEMPTS, OrderGiver
from bergamotcourse.coordination.jobs.task_runs import PlacedRun, RunState
from bergamotcourse.coordination.jobs.upstream_life import UpstreamLife
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import PlaceTask
from bergamotcourse.protocol.upstream_orders import RunKey, StartReply, StartVerdict
from bergamotcourse.state.job_spec import TaskName
from bergamotcourse.state.resources import Resources
from bergamotcourse.virtual.clock import run_virtual

KEY = RunKey(TaskName("task-1"), 1)
UNKNOWN = StartVerdict.UNKNOWN


class Port:
    """Answers orders to start as told."""

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
    """Return what a start comes to, and how many answers were not asked for.

    The run is to be stopped while the order of a number is on its way.
    """

    async def main():
        port = Port(verdicts)
        order = PlaceTask(KEY, "job", "", Resources(3100), 100, 0.4, 15)
        run = PlacedRun(KEY, LinkAddress("tcp://entry-1"), order, 0.0)
        run.state = RunState.STARTING

        def stop(number):
            run.stop_wanted = number > stopped_at > 0

        port.on_order = stop
        life = UpstreamLife(None, port, 0.0, 0.0)
        return await OrderGiver(Timers()).start(run, life, may_start), len(
            port.verdicts
        )

    return run_virtual(main, 1)


class TestStart:
    @pytest.mark.parametrize("verdict", [v for v in StartVerdict if v is not UNKNOWN])
    def test_the_first_answer_holds(self, verdict):
        assert order_start(verdict, UNKNOWN) == (verdict, 1)

    def test_without_an_answer_it_is_repeated(self):
        assert order_start(UNKNOWN, StartVerdict.STARTED) == (StartVerdict.STARTED, 0)
        assert order_start(*[UNKNOWN] * START_ATTEMPTS) == (UNKNOWN, 0)

    @pytest.mark.parametrize(
        "verdict",
        [v for v in StartVerdict if v not in (UNKNOWN, StartVerdict.STARTED)],
    )
    def test_a_refused_copy_does_not_say_that_the_first_was_not_carried_out(
        self, verdict
    ):
        assert order_start(UNKNOWN, verdict)[0] is UNKNOWN

    @pytest.mark.parametrize("verdict", [StartVerdict.STALE, StartVerdict.NO_ROOM])
    def test_nor_does_one_of_a_run_that_is_to_be_stopped(self, verdict):
        """A run was told as never started, and a copy of its order may have been run.

        The order had no answer, the run was barred, and the next copy was refused as
        old for just that. The refusal was believed, as the run was to stop anyhow.
        """
        assert order_start(UNKNOWN, verdict, stopped_at=1)[0] is UNKNOWN

    def test_a_copy_renews_the_lease_no_further(self):
        async def main():
            port = Port([UNKNOWN] * START_ATTEMPTS)
            order = PlaceTask(KEY, "job", "", Resources(3100), 100, 0.4, 15)
            run = PlacedRun(KEY, LinkAddress("tcp://entry-1"), order, 0.0)
            life = UpstreamLife(None, port, 0.0, 0.0)
            timers = Timers()
            begun = timers.lease_now()
            port.pause = 0.1
            await OrderGiver(timers).start(run, life, lambda: True)
            assert len({copy.until for copy in port.orders}) == 1
            assert life.lapses_at == pytest.approx(begun + LAPSE_SECONDS)

        run_virtual(main, 1)

    def test_nothing_is_ordered_once_contact_with_the_entry_is_lost(self):
        assert order_start(UNKNOWN, may_start=lambda: False) == (
            StartVerdict.TOO_LATE,
            1,
        )
        answers = [True, False]
        verdict = order_start(
            UNKNOWN, StartVerdict.STARTED, may_start=lambda: answers.pop(0)
        )
        assert verdict == (UNKNOWN, 1)
