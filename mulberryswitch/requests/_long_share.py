"""How many slots long work may hold."""

from math import ceil, exp, sqrt

from ._classes import WorkClassifier
from ._slots import SlotTable, TargetSlots

__all__ = ["LongShare"]

RATE_WINDOW_S = 2.0
# Slots beyond the mean short load, in standard deviations of a Poisson load.
RESERVE_DEVIATIONS = 1.5
# Slots beyond the mean short load that stay when the total load leaves no more. The full reserve
# would leave 2 of 21 slots idle at 150% load.
MIN_SPARE = 0.5
# A long request that has waited this many mean long runs shows an overload as well, for
# mixes of work that have changed since the mean run time was learned.
OVERDUE_RUNS = 2.0
# Without short work for this long, long work may use the last reserved slot as well.
SHORT_QUIET_S = 60.0
FLOOR_SHARE = 8  # long work is sure of one slot in eight


class _Rate:
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


class LongShare:
    """Reserve slots for short work according to how much short work arrives.

    Parameters
    ----------
    classifier : WorkClassifier
        Source of the mean run times.
    """

    def __init__(self, *, classifier: WorkClassifier):
        self.classifier = classifier
        self._short = _Rate()
        self._all = _Rate()

    def observe_request(self, is_long: bool, now_s: float) -> None:
        """Count a request."""
        self._all.observe(now_s)
        if not is_long:
            self._short.observe(now_s)

    def reserve(self, usable: int, now_s: float, long_wait_s: float) -> int:
        """Return the slots to keep for short work while long work has waited `long_wait_s`.

        The total load is the rate of arrivals, which is known within seconds, times the mean run
        time of many requests. The rate of long work alone would take minutes to measure.
        """
        if now_s - self._short.last_s > SHORT_QUIET_S:
            return 0
        load = self._short.per_s(now_s) * self.classifier.mean_s[False]
        total = self._all.per_s(now_s) * self.classifier.mean_all_s
        spare = min(RESERVE_DEVIATIONS * sqrt(load), max(MIN_SPARE, usable - total))
        if long_wait_s > OVERDUE_RUNS * self.classifier.mean_s[True]:
            spare = min(spare, MIN_SPARE)
        return max(1, ceil(load + spare))

    def limits(self, usable: int, now_s: float, long_wait_s: float) -> tuple[int, int]:
        """Return the slots that long work is sure of and those that it may hold at most."""
        floor = max(1, usable // FLOOR_SHARE)
        return floor, max(floor, usable - self.reserve(usable, now_s, long_wait_s))

    @staticmethod
    def may_take(table: SlotTable, state: TargetSlots, now_s: float) -> bool:
        """Return whether long work may take one more slot of this target.

        The last slot of a target is lent only while no short request is pinned to it, because a
        pinned request can't go elsewhere.
        """
        if state.long_in_flight < max(1, table.slots - 1):
            return True
        return now_s - state.pinned_short_s > SHORT_QUIET_S
