"""Token bucket that bounds retries to a share of the incoming requests."""

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Limit retries and hedges to `ratio` of the first attempts.

    Each first attempt adds `ratio` tokens, up to `max_tokens`; each retry or hedge
    takes one token.
    """

    def __init__(self, ratio: float = RETRY_RATIO, max_tokens: float = MAX_TOKENS):
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def deposit(self):
        """Add the tokens of a first attempt."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
