"""How many slots long work may hold."""

from math import ceil, exp, sqrt

from ._classes import WorkClassifier
from ._slots import SlotTable, TargetSlots

__all__ = ["LongShare"]

RATE_WINDOW_S = 5.0
# Slots beyond the mean short load, in standard deviations of a Poisson load.
RESERVE_DEVIATIONS = 1.5
# While long work waits, slots beyond the mean short load. The full reserve would leave 2 of 21
# slots idle at 150% load.
PRESSED_RESERVE = 0.5
# Long work presses when its oldest request has waited this share of a mean long run.
PRESSED_WAIT = 0.25
# Without short work for this long, long work may use the last reserved slot as well.
SHORT_QUIET_S = 60.0
FLOOR_SHARE = 8  # long work is sure of one slot in eight


class LongShare:
    """Reserve slots for short work according to how much short work arrives.

    Parameters
    ----------
    classifier : WorkClassifier
        Source of the mean time of short work.
    """

    def __init__(self, *, classifier: WorkClassifier):
        self.classifier = classifier
        self._arrivals = 0.0
        self._arrival_s = -1e9

    def observe_short(self, now_s: float) -> None:
        """Count a short request."""
        self._arrivals = self._decayed(now_s) + 1.0
        self._arrival_s = now_s

    def _decayed(self, now_s: float) -> float:
        return self._arrivals * exp(min(0.0, self._arrival_s - now_s) / RATE_WINDOW_S)

    def reserve(self, now_s: float, long_wait_s: float) -> int:
        """Return the slots to keep for short work while long work has waited `long_wait_s`."""
        if now_s - self._arrival_s > SHORT_QUIET_S:
            return 0
        load = self._decayed(now_s) / RATE_WINDOW_S * self.classifier.mean_s[False]
        spare = RESERVE_DEVIATIONS * sqrt(load)
        if long_wait_s > PRESSED_WAIT * self.classifier.mean_s[True]:
            spare = min(spare, PRESSED_RESERVE)
        return max(1, ceil(load + spare))

    def limits(self, usable: int, now_s: float, long_wait_s: float) -> tuple[int, int]:
        """Return the slots that long work is sure of and those that it may hold at most."""
        floor = max(1, usable // FLOOR_SHARE)
        return floor, max(floor, usable - self.reserve(now_s, long_wait_s))

    @staticmethod
    def may_take(table: SlotTable, state: TargetSlots, now_s: float) -> bool:
        """Return whether long work may take one more slot of this target.

        The last slot of a target is lent only while no short request is pinned to it, because a
        pinned request can't go elsewhere.
        """
        if state.long_in_flight < max(1, table.slots - 1):
            return True
        return now_s - state.pinned_short_s > SHORT_QUIET_S
