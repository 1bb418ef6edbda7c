"""Estimation of the wait in the queue."""

from math import exp

__all__ = ["QueueWaitEstimator"]

RATE_WINDOW_S = 1.0
# With fewer queued requests per slot, the estimate is too noisy to refuse a request.
MIN_AHEAD_PER_SLOT = 2
# Time that an admitted request should have left when it starts, in mean run times. Runs that miss
# their deadline waste their slot: at 150% load, goodput is 87% to 90% with a margin of 6 and 99%
# with 10.
MARGIN_MEAN_RUNS = 10.0
# Limits the margin to a share of the time left, so that a request whose deadline is only a few
# mean run times ahead is not refused because of the margin alone.
MAX_MARGIN_SHARE = 0.5


class QueueWaitEstimator:
    """Estimate the queue wait of one class of work in two independent ways.

    One estimate is the mean run time divided by the number of slots, the other comes from the
    observed rate of starts. The smaller one is used, so that a single wrong estimate does not
    refuse a request that could have met its deadline.
    """

    def __init__(self):
        self._starts = 0.0
        self._start_s = -1e9

    def observe_start(self, now_s: float) -> None:
        """Count a request that left the queue for a target."""
        self._starts = self._decayed(now_s) + 1.0
        self._start_s = now_s

    def _decayed(self, now_s: float) -> float:
        return self._starts * exp(min(0.0, self._start_s - now_s) / RATE_WINDOW_S)

    def estimate_wait_s(self, *, ahead: int, slots: int, mean_s: float, now_s: float) -> float:
        """Return the estimated wait behind `ahead` requests, or 0 without a reliable estimate."""
        if ahead < MIN_AHEAD_PER_SLOT * slots or slots <= 0 or mean_s <= 0.0:
            return 0.0
        by_mean_s = ahead * mean_s / slots
        rate = self._decayed(now_s) / RATE_WINDOW_S
        return min(by_mean_s, ahead / rate) if rate > 0.0 else by_mean_s

    def would_miss_deadline(
        self, *, ahead: int, slots: int, mean_s: float, now_s: float, deadline_ms: int
    ) -> bool:
        """Return whether a new request behind `ahead` others is likely to miss its deadline."""
        if not deadline_ms:
            return False
        wait_s = self.estimate_wait_s(ahead=ahead, slots=slots, mean_s=mean_s, now_s=now_s)
        left_s = deadline_ms / 1000.0 - now_s
        margin_s = min(MARGIN_MEAN_RUNS * mean_s, MAX_MARGIN_SHARE * left_s)
        return wait_s > 0.0 and wait_s + margin_s > left_s
