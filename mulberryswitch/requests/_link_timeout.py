"""Timeout of queued requests for which no target is reachable."""

from mulberryswitch.contracts import ResultCode

from ._queue import RequestQueue
from ._records import Record
from ._slots import SlotTable

__all__ = ["LinkTimeout"]

# Time that queued requests wait for a link while no target is reachable.
LINK_TIMEOUT_S = 1.0


class LinkTimeout:
    """Find queued requests that have waited too long for a reachable target.

    Parameters
    ----------
    queue : RequestQueue
    slots : SlotTable
    """

    def __init__(self, *, queue: RequestQueue, slots: SlotTable):
        self.queue = queue
        self.slots = slots
        self._no_target_since_s: float | None = None

    def list_timed_out(self, now_s: float) -> list[tuple[Record, ResultCode]]:
        """Return the requests to refuse now, each with its result code."""
        since_s = self._observe_targets(now_s)
        expired = since_s is not None and now_s - since_s >= LINK_TIMEOUT_S
        if not expired and not self._has_unreachable_pinned():
            return []
        active = any(state.takes_new_work for state in self.slots)
        code = ResultCode.NO_PATH if active else ResultCode.NO_ACTIVE_TARGET
        refused = []
        for record in self.queue:
            if record.forward.pinned:
                if self._is_pin_lost(record, now_s):
                    refused.append((record, ResultCode.TARGET_LOST_BEFORE_SEND))
            elif expired:
                refused.append((record, code))
        return refused

    def _observe_targets(self, now_s: float) -> float | None:
        """Return the time since which the queue has had no reachable target, or None."""
        reachable = any(state.is_up and state.takes_new_work for state in self.slots)
        if reachable or not len(self.queue):
            self._no_target_since_s = None
        elif self._no_target_since_s is None:
            self._no_target_since_s = now_s
        return self._no_target_since_s

    def _is_pin_lost(self, record: Record, now_s: float) -> bool:
        state = self.slots.get(record.forward.pinned)
        waited = now_s - record.queued_s >= LINK_TIMEOUT_S
        return waited and (state is None or not state.is_up)

    def _has_unreachable_pinned(self) -> bool:
        names = self.queue.pinned_targets(False) + self.queue.pinned_targets(True)
        states = [self.slots.get(name) for name in names]
        return any(state is None or not state.is_up for state in states)
