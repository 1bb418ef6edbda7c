"""Choice of the next request for each free slot."""

from collections.abc import Callable

from ._long_share import LongShare
from ._queue import RequestQueue
from ._records import Record
from ._slots import SlotTable, TargetSlots

__all__ = ["Binder"]

StartFunction = Callable[[Record, TargetSlots, float], None]


class Binder:
    """Fill free slots from the queue.

    Parameters
    ----------
    queue, slots, long_share
        What is waiting, what is free and what long work may take.
    start : callable
        Takes a request from the queue and runs it, or ends it if its deadline has passed.
    """

    def __init__(
        self,
        *,
        queue: RequestQueue,
        slots: SlotTable,
        long_share: LongShare,
        start: StartFunction,
    ):
        self.queue = queue
        self.slots = slots
        self.long_share = long_share
        self.start = start

    def apply_fill(self, now_s: float) -> None:
        """Start requests until the slots or the queue are used up.

        Long work gets its sure share first, then short work goes before long work. A request that
        is pinned to a target goes before others of its class.
        """
        self._fill_pinned(False, now_s)
        free = self.slots.free_targets(now_s)
        if free and self.queue.count[True]:
            self._fill_long(free, self.long_limits(now_s)[0], now_s)
        if free and self.queue.count[False]:
            self._fill_short(free, now_s)
        if self.queue.count[True]:
            self._fill_pinned(True, now_s)
            free = self.slots.free_targets(now_s)
            self._fill_long(free, self.long_limits(now_s)[1], now_s)

    def long_limits(self, now_s: float) -> tuple[int, int]:
        """Return the slots that long work is sure of and those that it may hold at most."""
        waits_s = (now_s - record.queued_s for record in self.queue.heads(True))
        usable = self.slots.usable_slots(now_s)
        return self.long_share.limits(usable, now_s, max(waits_s, default=0.0))

    def _fill_pinned(self, is_long: bool, now_s: float) -> None:
        for name in self.queue.pinned_targets(is_long):
            state = self.slots.get(name)
            while state and self._may_run_pinned(state, is_long, now_s):
                record = self.queue.pinned_head(is_long, name)
                if record is None:
                    break
                self.start(record, state, now_s)

    def _may_run_pinned(self, state: TargetSlots, is_long: bool, now_s: float) -> bool:
        if not self.slots.has_free(state, now_s):
            return False
        return not is_long or self.long_share.may_take(self.slots, state, now_s)

    def _fill_long(self, free: list[TargetSlots], limit: int, now_s: float) -> None:
        """Start long requests until `limit` of them run; drop the targets filled from `free`."""
        while self.queue.count[True] and self.slots.long_in_flight < limit:
            takers = [s for s in free if self.long_share.may_take(self.slots, s, now_s)]
            if not takers or not self._start_head(True, takers, free, now_s):
                return

    def _fill_short(self, free: list[TargetSlots], now_s: float) -> None:
        while free and self.queue.count[False]:
            if not self._start_head(False, free, free, now_s):
                return

    def _start_head(
        self, is_long: bool, takers: list[TargetSlots], free: list[TargetSlots], now_s: float
    ) -> bool:
        """Start the oldest request that has an allowed target; return whether one left."""
        zone_queued = self.queue.zone_count[is_long]
        for record in self.queue.heads(is_long):
            state = self.slots.pick(takers, record.forward.entry_zone, zone_queued, now_s)
            if state is not None:
                self.start(record, state, now_s)
                if not self.slots.has_free(state, now_s):
                    free.remove(state)
                return True
        return False
