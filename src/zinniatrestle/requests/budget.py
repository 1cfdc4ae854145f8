"""Bound retries to a share of the requests that came in."""

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Save a share of each request and spend one for each retry or hedge."""

    def __init__(self, ratio: float = RETRY_RATIO, max_tokens: float = MAX_TOKENS):
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def deposit(self):
        """Note a first attempt."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take one retry if the budget has it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
