"""Learned distribution of the time that the openings of a service take."""

import itertools
import math

__all__ = ["MIN_SAMPLES", "OpeningTimes"]

FIRST_BOUND_S = 0.0005
BOUND_RATIO = 1.25
BOUNDS = 24
# Below this number of samples a high quantile is not known.
MIN_SAMPLES = 50
# All counts are halved at this sum, so that the last few thousand openings decide.
HALVING_SAMPLES = 4_000


class OpeningTimes:
    """Histogram with exponential buckets that forgets old samples.

    A few samples of any size move a quantile by their share only.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * (BOUNDS + 1)
        self._total = 0.0

    def observe_time(self, time_s: float) -> None:
        """Add the time that one opening took, in seconds."""
        ratio = max(time_s, FIRST_BOUND_S) / FIRST_BOUND_S
        bucket = min(BOUNDS, math.ceil(math.log(ratio, BOUND_RATIO) - 1e-9))
        self._counts[bucket] += 1
        self._total += 1
        if self._total >= HALVING_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def get_quantile(self, quantile: float) -> float:
        """Return the time that the share `quantile` of the openings does not exceed, in seconds.

        It is rounded up to the bound of a bucket, and infinite while there are too few samples.
        """
        if self._total < MIN_SAMPLES:
            return math.inf
        needed = quantile * self._total
        reached = itertools.accumulate(self._counts)
        bucket = next(i for i, count in enumerate(reached) if count >= needed - 1e-9)
        return math.inf if bucket == BOUNDS else FIRST_BOUND_S * BOUND_RATIO**bucket
