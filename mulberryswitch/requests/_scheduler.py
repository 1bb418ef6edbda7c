"""Scheduling of queued requests on free slots."""

from collections.abc import Callable

from ._queue import RequestQueue
from ._records import Record
from ._slot_reserve import SlotReserve
from ._slots import SlotTable, TargetSlots

__all__ = ["SlotScheduler"]

StartFunction = Callable[[Record, TargetSlots, float], None]


class SlotScheduler:
    """Assign queued requests to free slots.

    Parameters
    ----------
    queue, slots, slot_reserve
        Queued requests, slots of the targets and slots reserved for short work.
    start : callable
        Removes a request from the queue and starts it, or ends it if its deadline has passed.
    """

    def __init__(
        self,
        *,
        queue: RequestQueue,
        slots: SlotTable,
        slot_reserve: SlotReserve,
        start: StartFunction,
    ):
        self.queue = queue
        self.slots = slots
        self.slot_reserve = slot_reserve
        self.start = start

    def fill_slots(self, now_s: float) -> None:
        """Start requests until no slot is free or nothing queued may use one.

        The order is: pinned short work, unpinned long work up to its guaranteed slots, unpinned
        short work, pinned long work, and unpinned long work up to its limit.
        """
        self._fill_pinned(False, now_s)
        free = self.slots.list_free_targets(now_s)
        if free and self.queue.count[True]:
            self._fill_long(free, self.long_limits(now_s)[0], now_s)
        if free and self.queue.count[False]:
            self._fill_short(free, now_s)
        if self.queue.count[True]:
            self._fill_pinned(True, now_s)
            free = self.slots.list_free_targets(now_s)
            self._fill_long(free, self.long_limits(now_s)[1], now_s)

    def long_limits(self, now_s: float) -> tuple[int, int]:
        """Return the guaranteed and the maximum number of slots for long work."""
        waits_s = (now_s - record.queued_s for record in self.queue.heads(True))
        usable = self.slots.usable_slots(now_s)
        return self.slot_reserve.long_limits(usable, now_s, max(waits_s, default=0.0))

    def _fill_pinned(self, is_long: bool, now_s: float) -> None:
        for name in self.queue.pinned_targets(is_long):
            state = self.slots.get(name)
            while state and self._may_start_pinned(state, is_long, now_s):
                record = self.queue.pinned_head(is_long, name)
                if record is None:
                    break
                self.start(record, state, now_s)

    def _may_start_pinned(self, state: TargetSlots, is_long: bool, now_s: float) -> bool:
        if not self.slots.has_free_slot(state, now_s):
            return False
        return not is_long or self.slot_reserve.may_take_long(self.slots, state, now_s)

    def _fill_long(self, free: list[TargetSlots], limit: int, now_s: float) -> None:
        """Start long requests until `limit` of them run; remove full targets from `free`."""
        while self.queue.count[True] and self.slots.long_in_flight < limit:
            eligible = [s for s in free if self.slot_reserve.may_take_long(self.slots, s, now_s)]
            if not eligible or not self._start_head(True, eligible, free, now_s):
                return

    def _fill_short(self, free: list[TargetSlots], now_s: float) -> None:
        while free and self.queue.count[False]:
            if not self._start_head(False, free, free, now_s):
                return

    def _start_head(
        self, is_long: bool, eligible: list[TargetSlots], free: list[TargetSlots], now_s: float
    ) -> bool:
        """Start the oldest request that has an allowed target; return whether there was one."""
        zone_queued = self.queue.zone_count[is_long]
        for record in self.queue.heads(is_long):
            state = self.slots.pick_target(eligible, record.forward.entry_zone, zone_queued, now_s)
            if state is not None:
                self.start(record, state, now_s)
                if not self.slots.has_free_slot(state, now_s):
                    free.remove(state)
                return True
        return False
