"""Estimate of the wait in the queue."""

from math import exp

__all__ = ["WaitEstimate"]

DRAIN_WINDOW_S = 1.0
# Fewer requests ahead than this many per slot make the estimate too noisy to refuse on.
MIN_AHEAD_PER_SLOT = 2
# Time in mean runs that an accepted request should have left when it starts. Runs that miss their
# deadline waste their slot: at 150% load a margin of 6 left 87% to 90% goodput, 10 leaves 99%.
RUN_MARGIN = 10.0
# A deadline of few mean runs must not be refused on the margin alone.
MARGIN_SHARE = 0.5


class WaitEstimate:
    """Estimate the wait of one class of work from two independent views.

    The first is the mean run time over the slots, the second the observed rate of starts. The
    smaller one counts, so that one wrong view does not refuse work that would have fitted.
    """

    def __init__(self):
        self._starts = 0.0
        self._start_s = -1e9

    def observe_start(self, now_s: float) -> None:
        """Count a request that left the queue for a target."""
        self._starts = self._decayed(now_s) + 1.0
        self._start_s = now_s

    def _decayed(self, now_s: float) -> float:
        return self._starts * exp(min(0.0, self._start_s - now_s) / DRAIN_WINDOW_S)

    def wait_s(self, *, ahead: int, slots: int, mean_s: float, now_s: float) -> float:
        """Return the estimated wait behind `ahead` requests; 0 when there is no safe estimate."""
        if ahead < MIN_AHEAD_PER_SLOT * slots or slots <= 0 or mean_s <= 0.0:
            return 0.0
        by_mean_s = ahead * mean_s / slots
        rate = self._decayed(now_s) / DRAIN_WINDOW_S
        return min(by_mean_s, ahead / rate) if rate > 0.0 else by_mean_s

    def is_too_late(
        self, *, ahead: int, slots: int, mean_s: float, now_s: float, deadline_ms: int
    ) -> bool:
        """Return whether a new request would miss its deadline."""
        if not deadline_ms:
            return False
        wait_s = self.wait_s(ahead=ahead, slots=slots, mean_s=mean_s, now_s=now_s)
        left_s = deadline_ms / 1000.0 - now_s
        margin_s = min(RUN_MARGIN * mean_s, MARGIN_SHARE * left_s)
        return wait_s > 0.0 and wait_s + margin_s > left_s
