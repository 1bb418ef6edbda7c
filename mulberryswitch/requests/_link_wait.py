"""How long queued requests wait for a target that can be reached."""

from mulberryswitch.contracts import ResultCode

from ._queue import RequestQueue
from ._records import Record
from ._slots import SlotTable

__all__ = ["LinkWait"]

# A queue without a reachable target waits this long for a link before it refuses.
LINK_WAIT_S = 1.0


class LinkWait:
    """Finds the queued requests that no target can take.

    Parameters
    ----------
    queue : RequestQueue
    slots : SlotTable
    """

    def __init__(self, *, queue: RequestQueue, slots: SlotTable):
        self.queue = queue
        self.slots = slots
        self._no_target_since_s: float | None = None

    def list_refused(self, now_s: float) -> list[tuple[Record, ResultCode]]:
        """Return the requests to refuse now, each with its code."""
        since_s = self._observe_targets(now_s)
        expired = since_s is not None and now_s - since_s >= LINK_WAIT_S
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
        """Return since when the queue has had no reachable target."""
        reachable = any(state.is_up and state.takes_new_work for state in self.slots)
        if reachable or not len(self.queue):
            self._no_target_since_s = None
        elif self._no_target_since_s is None:
            self._no_target_since_s = now_s
        return self._no_target_since_s

    def _is_pin_lost(self, record: Record, now_s: float) -> bool:
        state = self.slots.get(record.forward.pinned)
        waited = now_s - record.queued_s >= LINK_WAIT_S
        return waited and (state is None or not state.is_up)

    def _has_unreachable_pinned(self) -> bool:
        names = self.queue.pinned_targets(False) + self.queue.pinned_targets(True)
        states = [self.slots.get(name) for name in names]
        return any(state is None or not state.is_up for state in states)
