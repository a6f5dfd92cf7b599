import pytest

from bergamotcourse.coordination.jobs.item_stream import Outgoing
from bergamotcourse.coordination.jobs.lease_terms import (
    MAX_RETRANSMIT_SECONDS,
    RETRANSMIT_SECONDS,
)
from bergamotcourse.coordination.jobs.resend_timer import ResendTimer
from bergamotcourse.protocol.task_messages import WithdrawTask
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.job_spec import TaskName

ITEM = WithdrawTask(RunKey(TaskName("a.0.0.0"), 1))


class TestResendTimer:
    def test_waits_no_shorter_on_a_quick_link(self):
        timer = ResendTimer()
        for _ in range(20):
            timer.learn(0.005)
        assert timer.wait == RETRANSMIT_SECONDS

    def test_outlasts_the_round_trips_of_a_full_link(self):
        timer = ResendTimer()
        for seconds in (0.2, 0.25, 0.3, 0.25, 0.3, 0.25):
            timer.learn(seconds)
        assert 0.3 < timer.wait <= MAX_RETRANSMIT_SECONDS

    def test_waits_longer_each_time_up_to_a_bound(self):
        timer = ResendTimer()
        timer.expired()
        assert timer.wait == pytest.approx(2 * RETRANSMIT_SECONDS)
        for _ in range(5):
            timer.expired()
        assert timer.wait == MAX_RETRANSMIT_SECONDS

    def test_comes_down_again_with_quick_answers(self):
        timer = ResendTimer()
        timer.expired()
        timer.learn(0.01)
        assert timer.wait == RETRANSMIT_SECONDS


class TestStream:
    """Which round trips a stream measures."""

    def test_of_an_item_that_was_sent_again_none_is_taken(self):
        """The confirmation may be of either copy."""
        out = Outgoing()
        out.add(ITEM)
        out.take(0.0)
        out.take(RETRANSMIT_SECONDS)
        out.confirm(1, RETRANSMIT_SECONDS + 0.001)
        assert out.timer.mean is None
        assert out.timer.wait > RETRANSMIT_SECONDS

    def test_the_next_item_gives_the_wait_back(self):
        out = Outgoing()
        out.add(ITEM)
        out.take(0.0)
        out.take(RETRANSMIT_SECONDS)
        out.confirm(1, 0.2)
        out.add(ITEM)
        out.take(0.3)
        out.confirm(2, 0.31)
        assert out.timer.wait == RETRANSMIT_SECONDS
