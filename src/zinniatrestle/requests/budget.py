"""Bound retries to a share of the requests that came in."""

RETRY_SHARE = 0.1
MOST_SAVED = 10.0


class RetryBudget:
    """Save a share of each request and spend one for each retry or hedge."""

    def __init__(self, share: float = RETRY_SHARE, most: float = MOST_SAVED):
        self.share = share
        self.most = most
        self.saved = most

    def deposit(self):
        """Note a first attempt."""
        self.saved = min(self.most, self.saved + self.share)

    def withdraw(self) -> bool:
        """Take one retry if the budget has it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
