"""Admission control: checks that an attempt must pass before it is queued."""

from collections.abc import Mapping

from mulberryswitch.contracts import Forward, ResultCode

from ._classifier import WorkClassifier
from ._proof import check_deadline_proof
from ._queue import RequestQueue
from ._queue_wait import QueueWaitEstimator
from ._records import Record, RequestRecords
from ._scheduler import SlotScheduler
from ._slots import SlotTable

__all__ = ["Admission"]


class Admission:
    """Check whether an attempt may be queued, without changing any state.

    Parameters
    ----------
    queue, slots, records, scheduler, classifier
        State of the dispatcher, read only.
    wait_estimators : mapping of bool to QueueWaitEstimator
        Estimators for short (False) and long (True) work.
    max_queued : int
        Maximum number of queued requests.
    """

    def __init__(
        self,
        *,
        queue: RequestQueue,
        slots: SlotTable,
        records: RequestRecords,
        scheduler: SlotScheduler,
        classifier: WorkClassifier,
        wait_estimators: Mapping[bool, QueueWaitEstimator],
        max_queued: int,
    ):
        self.queue = queue
        self.slots = slots
        self.records = records
        self.scheduler = scheduler
        self.classifier = classifier
        self.wait_estimators = wait_estimators
        self.max_queued = max_queued

    def check(self, *, record: Record, has_proof: bool, now_s: float) -> int:
        """Return 0 if the attempt of `record` may be queued, otherwise the code that refuses it."""
        code = self.check_proof(forward=record.forward, has_proof=has_proof, now_s=now_s)
        return code or self._check_capacity(record, now_s)

    def check_proof(self, *, forward: Forward, has_proof: bool, now_s: float) -> int:
        """Return 0 if no earlier attempt or copy rules out running `forward`, otherwise a code."""
        packet = forward.packet
        if not packet.idempotent and not has_proof:
            return ResultCode.NO_PROOF
        if self.records.may_have_been_evicted((packet.flow, packet.request_id), packet.deadline_ms):
            return ResultCode.NO_PROOF
        return check_deadline_proof(forward, now_s)

    def _check_capacity(self, record: Record, now_s: float) -> int:
        pinned = record.forward.pinned
        if pinned and self.slots.get(pinned) is None:
            return ResultCode.TARGET_LOST_BEFORE_SEND
        if not pinned and not any(state.takes_new_work for state in self.slots):
            return ResultCode.NO_ACTIVE_TARGET
        if len(self.queue) >= self.max_queued:
            return ResultCode.QUEUE_FULL
        if not pinned and self._would_miss_deadline(record, now_s):
            return ResultCode.DEADLINE_TOO_CLOSE
        return 0

    def _would_miss_deadline(self, record: Record, now_s: float) -> bool:
        ahead = self.queue.count[record.is_long]
        if not ahead:
            return False
        usable = self.slots.usable_slots(now_s)
        if record.is_long:
            slots = self.scheduler.long_limits(now_s)[1]
        else:
            slots = usable - self.slots.long_in_flight
        return self.wait_estimators[record.is_long].would_miss_deadline(
            ahead=ahead,
            slots=slots,
            mean_s=self.classifier.mean_s[record.is_long],
            now_s=now_s,
            deadline_ms=record.deadline_ms,
        )
