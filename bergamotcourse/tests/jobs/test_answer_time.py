from bergamotcourse.coordination.jobs.answer_time import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    AnswerTimeEstimator,
)


def estimator_with(*seconds):
    estimator = AnswerTimeEstimator()
    for sample in seconds:
        estimator.add_sample(sample)
    return estimator


class TestTimeout:
    def test_is_longest_before_the_first_sample(self):
        assert AnswerTimeEstimator().timeout() == MAX_TIMEOUT_SECONDS

    def test_fast_answers_shorten_it_to_the_lower_bound(self):
        assert estimator_with(*[0.003] * 20).timeout() == MIN_TIMEOUT_SECONDS

    def test_slow_answers_lengthen_it_to_the_upper_bound(self):
        assert estimator_with(*[0.003] * 20, *[0.06] * 8).timeout() > 0.06
        assert estimator_with(*[0.5] * 8).timeout() == MAX_TIMEOUT_SECONDS

    def test_doubles_for_each_unanswered_order_up_to_the_bound(self):
        estimator = estimator_with(*[0.003] * 20)
        assert estimator.timeout(1) == 2 * MIN_TIMEOUT_SECONDS
        assert estimator.timeout(9) == MAX_TIMEOUT_SECONDS
