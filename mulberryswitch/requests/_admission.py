"""Whether a new attempt may be queued."""

from collections.abc import Mapping

from mulberryswitch.contracts import Forward, ResultCode

from ._binding import Binder
from ._classes import WorkClassifier
from ._proof import check_deadline_proof
from ._queue import RequestQueue
from ._records import Record, RequestRecords
from ._slots import SlotTable
from ._waits import WaitEstimate

__all__ = ["Admission"]


class Admission:
    """Checks that an attempt passes before it is queued; changes nothing.

    Parameters
    ----------
    queue, slots, records, binder, classifier
        State of the dispatcher.
    waits : mapping of bool to WaitEstimate
        Estimates for short (False) and long (True) work.
    max_queued : int
        Bound on queued requests.
    """

    def __init__(
        self,
        *,
        queue: RequestQueue,
        slots: SlotTable,
        records: RequestRecords,
        binder: Binder,
        classifier: WorkClassifier,
        waits: Mapping[bool, WaitEstimate],
        max_queued: int,
    ):
        self.queue = queue
        self.slots = slots
        self.records = records
        self.binder = binder
        self.classifier = classifier
        self.waits = waits
        self.max_queued = max_queued

    def check(self, *, record: Record, proven: bool, now_s: float) -> int:
        """Return the code of a refusal; 0 if the attempt of `record` may be queued."""
        code = self.check_proof(forward=record.forward, proven=proven, now_s=now_s)
        return code or self._check_room(record, now_s)

    def check_proof(self, *, forward: Forward, proven: bool, now_s: float) -> int:
        """Return a code unless the attempt may run as far as earlier copies are concerned."""
        packet = forward.packet
        if not packet.idempotent and not proven:
            return ResultCode.NO_PROOF
        if self.records.is_fenced((packet.flow, packet.request_id), packet.deadline_ms):
            return ResultCode.NO_PROOF
        return check_deadline_proof(forward, now_s)

    def _check_room(self, record: Record, now_s: float) -> int:
        pinned = record.forward.pinned
        if pinned and self.slots.get(pinned) is None:
            return ResultCode.TARGET_LOST_BEFORE_SEND
        if not pinned and not any(state.takes_new_work for state in self.slots):
            return ResultCode.NO_ACTIVE_TARGET
        if len(self.queue) >= self.max_queued:
            return ResultCode.QUEUE_FULL
        if not pinned and self._is_too_late(record, now_s):
            return ResultCode.DEADLINE_TOO_CLOSE
        return 0

    def _is_too_late(self, record: Record, now_s: float) -> bool:
        ahead = self.queue.count[record.is_long]
        if not ahead:
            return False
        usable = self.slots.usable_slots(now_s)
        if record.is_long:
            slots = self.binder.long_limits(now_s)[1]
        else:
            slots = usable - self.slots.long_in_flight
        return self.waits[record.is_long].is_too_late(
            ahead=ahead,
            slots=slots,
            mean_s=self.classifier.mean_s[record.is_long],
            now_s=now_s,
            deadline_ms=record.deadline_ms,
        )
