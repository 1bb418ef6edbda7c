"""Reservation of slots for short work, which limits the slots of long work."""

from math import ceil, exp, sqrt

from ._classifier import WorkClassifier
from ._slots import SlotTable, TargetSlots

__all__ = ["SlotReserve"]

RATE_WINDOW_S = 2.0
# Reserved slots beyond the mean short load, in standard deviations of a Poisson-distributed load.
RESERVE_DEVIATIONS = 1.5
# Reserved slots beyond the mean short load under overload, when the total load leaves no spare
# slots. The full reserve would leave 2 of 21 slots idle at 150% load.
MIN_SPARE_SLOTS = 0.5
# A long request that has waited this many mean long run times indicates overload as well, even if
# the mix of work has changed since the mean run time was learned.
OVERDUE_MEAN_RUNS = 2.0
# After this time without short work, long work may use all slots, the last reserved one included.
SHORT_IDLE_S = 60.0
LONG_GUARANTEE_DIVISOR = 8  # one slot in eight is guaranteed to long work


class _DecayingRate:
    """Exponentially decayed rate of events."""

    def __init__(self):
        self.count = 0.0
        self.last_s = -1e9

    def observe(self, now_s: float) -> None:
        self.count = self._decayed(now_s) + 1.0
        self.last_s = now_s

    def per_s(self, now_s: float) -> float:
        return self._decayed(now_s) / RATE_WINDOW_S

    def _decayed(self, now_s: float) -> float:
        return self.count * exp(min(0.0, self.last_s - now_s) / RATE_WINDOW_S)


class SlotReserve:
    """Reserve slots for short work according to its recent load.

    Parameters
    ----------
    classifier : WorkClassifier
        Provides the mean run times.
    """

    def __init__(self, *, classifier: WorkClassifier):
        self.classifier = classifier
        self._short = _DecayingRate()
        self._all = _DecayingRate()

    def observe_request(self, is_long: bool, now_s: float) -> None:
        """Count the arrival of a request."""
        self._all.observe(now_s)
        if not is_long:
            self._short.observe(now_s)

    def count_reserved(self, usable: int, now_s: float, long_wait_s: float) -> int:
        """Return the slots to reserve when the oldest long request has waited `long_wait_s`.

        The total load is the arrival rate, which is known within seconds, times the mean run time
        over many requests. The arrival rate of long work alone would take minutes to measure.
        """
        if now_s - self._short.last_s > SHORT_IDLE_S:
            return 0
        load = self._short.per_s(now_s) * self.classifier.mean_s[False]
        total = self._all.per_s(now_s) * self.classifier.mean_all_s
        spare = min(RESERVE_DEVIATIONS * sqrt(load), max(MIN_SPARE_SLOTS, usable - total))
        if long_wait_s > OVERDUE_MEAN_RUNS * self.classifier.mean_s[True]:
            spare = min(spare, MIN_SPARE_SLOTS)
        return max(1, ceil(load + spare))

    def long_limits(self, usable: int, now_s: float, long_wait_s: float) -> tuple[int, int]:
        """Return the guaranteed and the maximum number of slots for long work."""
        guaranteed = max(1, usable // LONG_GUARANTEE_DIVISOR)
        return guaranteed, max(guaranteed, usable - self.count_reserved(usable, now_s, long_wait_s))

    @staticmethod
    def may_take_long(table: SlotTable, state: TargetSlots, now_s: float) -> bool:
        """Return whether long work may take one more slot of this target.

        Long work may take the last slot of a target only if no short request has been pinned to
        the target recently, because a pinned request cannot run elsewhere.
        """
        if state.long_in_flight < max(1, table.slots - 1):
            return True
        return now_s - state.last_pinned_short_s > SHORT_IDLE_S
