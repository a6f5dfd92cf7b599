from bergamotcourse.coordination.retry_budget import INITIAL_RETRIES, RetryBudget


class TestRetryBudget:
    def test_retries_are_bounded_to_a_share_of_first_sends(self):
        budget = RetryBudget(share=0.1)
        retries = 0
        for _ in range(1000):
            budget.earn()
            retries += sum(budget.spend() for _ in range(5))
        assert retries <= INITIAL_RETRIES + 0.1 * 1000

    def test_balance_saved_up_without_retries_is_capped(self):
        budget = RetryBudget(share=0.5)
        for _ in range(10_000):
            budget.earn()
        assert sum(budget.spend() for _ in range(10_000)) == 10 * INITIAL_RETRIES
