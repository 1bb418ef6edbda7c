"""Retry budget: limits retries to a fraction of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that is filled by requests and drained by retries.

    Parameters
    ----------
    ratio : float
        Tokens added per attempt, that is, retries allowed per attempt.
    burst : float
        Capacity of the bucket and its initial number of tokens.
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def observe_request(self) -> None:
        """Add the tokens of one new attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one token and return True, or return False if the budget is exhausted."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
