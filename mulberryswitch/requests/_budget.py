"""Budget that keeps retries a small share of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    burst : float
        Largest number of saved retries; also the number at the start.
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def observe_request(self) -> None:
        """Count one first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def apply_retry(self) -> bool:
        """Take one retry from the budget and return whether it was there."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
