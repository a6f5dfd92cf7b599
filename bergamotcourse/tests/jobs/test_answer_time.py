from bergamotcourse.coordination.jobs.answer_time import (
    LEAST_SECONDS,
    MOST_SECONDS,
    AnswerTime,
)


def learnt(*seconds):
    time = AnswerTime()
    for one in seconds:
        time.learn(one)
    return time


class TestAnswerTime:
    def test_before_the_first_answer_it_waits_longest(self):
        assert AnswerTime().timeout() == MOST_SECONDS

    def test_quick_answers_shorten_the_wait_down_to_a_bound(self):
        assert learnt(*[0.003] * 20).timeout() == LEAST_SECONDS

    def test_slow_answers_lengthen_it_up_to_a_bound(self):
        assert learnt(*[0.003] * 20, *[0.06] * 8).timeout() > 0.06
        assert learnt(*[0.5] * 8).timeout() == MOST_SECONDS

    def test_each_order_without_an_answer_doubles_it(self):
        time = learnt(*[0.003] * 20)
        assert time.timeout(1) == 2 * LEAST_SECONDS
        assert time.timeout(9) == MOST_SECONDS
