"""Limits retries to a share of first sends, so that they can't amplify an overload."""

RETRY_SHARE = 0.1
INITIAL_RETRIES = 10.0
"""The initial balance; the balance is capped at ten times as much."""


class RetryBudget:
    """A balance of retries that first sends replenish.

    Attributes:
        share: Retries earned by each first send.
        balance: Retries that may be made now.
    """

    def __init__(self, share: float = RETRY_SHARE):
        self.share = share
        self.balance = INITIAL_RETRIES

    def earn(self) -> None:
        """Add to the balance for a first send."""
        self.balance = min(self.balance + self.share, 10 * INITIAL_RETRIES)

    def spend(self) -> bool:
        """Take one retry from the balance; return ``False`` if it is exhausted."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
