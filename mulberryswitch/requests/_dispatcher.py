"""Dispatcher of one service: slots, queue and request records."""

from collections import Counter
from collections.abc import Sequence

from mulberryswitch.contracts import (
    AnswerPiece,
    Forward,
    LoadReport,
    ResultCode,
    Target,
    TargetRequest,
)
from mulberryswitch.zones import SpillPolicy

from ._actions import Action, CancelAtTarget, SendToTarget
from ._admission import Admission
from ._attempts import MAX_WAITERS, attach_waiter
from ._binding import Binder
from ._budget import RetryBudget
from ._classes import WorkClassifier
from ._link_wait import LinkWait
from ._long_share import LongShare
from ._open_requests import OpenRequest, list_open_requests
from ._outcomes import Outcomes
from ._proof import has_receipt, is_first_or_has_receipt
from ._queue import RequestQueue
from ._receipts import ReceiptSigner
from ._records import (
    Record,
    RecordState,
    RequestRecords,
    Waiter,
)
from ._slots import SlotTable, TargetSlots
from ._timers import DeadlineTimers
from ._waits import WaitEstimate

__all__ = ["Dispatcher"]

MAX_QUEUED = 4096
MAX_SHEDS = 20
# An unanswered run blames the target only when it had this many mean runs of its class.
BLAME_MEANS = 4.0


class Dispatcher:
    """Bind the requests of one service to free slots as late as possible.

    Events return the actions to carry out, in order. Times are seconds since the epoch and never
    decrease.

    Parameters
    ----------
    vm, zone, service : str
        This VM, its zone and the service.
    slots : int
        Slots per target.
    signer : ReceiptSigner
        Signs and verifies receipts.
    first_dispatch_id : int
        First dispatch id; ids of one process must not repeat.
    max_queued : int
        Bound on queued requests.
    records : RequestRecords or None
        Table of records; a new one by default.
    budget : RetryBudget or None
        Budget of repeated runs; a new one by default.
    spill : SpillPolicy or None
        Bound on slots that other zones hold.
    """

    def __init__(
        self,
        *,
        vm: str,
        zone: str,
        service: str,
        slots: int,
        signer: ReceiptSigner,
        first_dispatch_id: int = 1,
        max_queued: int = MAX_QUEUED,
        records: RequestRecords | None = None,
        budget: RetryBudget | None = None,
        spill: SpillPolicy | None = None,
    ):
        self.vm = vm
        self.zone = zone
        self.service = service
        self.signer = signer
        self.records = records if records is not None else RequestRecords()
        self.budget = budget if budget is not None else RetryBudget()
        self.classifier = WorkClassifier()
        self.counters: Counter[str] = Counter()
        self.slots = SlotTable(slots=slots, spill=spill or SpillPolicy())
        self._queue = RequestQueue()
        self._long_share = LongShare(classifier=self.classifier)
        self._waits = {False: WaitEstimate(), True: WaitEstimate()}
        self._running: dict[int, Record] = {}
        self._timers = DeadlineTimers()
        self._next_dispatch_id = first_dispatch_id
        self._next_sequence = 1
        self._outcomes = Outcomes(signer=signer, records=self.records, counters=self.counters)
        self._binder = Binder(
            queue=self._queue, slots=self.slots, long_share=self._long_share, start=self._start
        )
        self._admission = Admission(
            queue=self._queue,
            slots=self.slots,
            records=self.records,
            binder=self._binder,
            classifier=self.classifier,
            waits=self._waits,
            max_queued=max_queued,
        )
        self._link_wait = LinkWait(queue=self._queue, slots=self.slots)

    # Events

    def observe_targets(self, targets: Sequence[Target], slots: int, now_s: float) -> list[Action]:
        """Take in the published targets of the service and the slots of each."""
        self.slots.observe_targets(targets, slots, now_s)
        return self._decide_all(now_s)

    def observe_target_up(self, target: str, now_s: float) -> list[Action]:
        """The link to `target` is open."""
        self.slots.observe_up(target, now_s)
        return self._decide_all(now_s)

    def observe_target_lost(self, target: str, now_s: float) -> list[Action]:
        """The link to `target` broke; what ran there may have run."""
        for record in [r for r in self._running.values() if r.target == target]:
            self._apply_run_lost(record, now_s)
        self.slots.observe_lost(target, now_s)
        for record in [r for r in self._queue if r.forward.pinned == target]:
            self._conclude(record, ResultCode.TARGET_LOST_BEFORE_SEND, now_s)
        return self._decide_all(now_s)

    def observe_report(self, target: str, report: LoadReport, now_s: float) -> list[Action]:
        """Take in a target's own report; it only orders targets that have a free slot."""
        state = self.slots.get(target)
        if state is not None:
            state.report, state.report_s = report, now_s
        return []

    def observe_request(self, forward: Forward, now_s: float) -> list[Action]:
        """Take in a request that an entry VM forwarded."""
        packet = forward.packet
        record = self.records.get((packet.flow, packet.request_id))
        if record is None:
            self._observe_new(forward, now_s)
        else:
            self._observe_known(record, forward, now_s)
        self.records.apply_expiry(now_s)
        return self._decide_all(now_s)

    def observe_cancel(self, forward: Forward, now_s: float) -> list[Action]:
        """Cancel the request that `forward` names; a cancel may overtake its request."""
        packet = forward.packet
        record = self.records.get((packet.flow, packet.request_id))
        if record is None:
            # Nothing is told yet: the code answers the request when it arrives. The state is
            # unknown because an expired record of the request may have existed.
            record = self.records.apply_new(forward)
            record.state, record.code = RecordState.UNKNOWN, ResultCode.CANCELLED
            record.last_deadline_ms = packet.deadline_ms
            record.attempt = packet.attempt
            self.records.apply_finished(record, now_s)
            self.records.apply_expiry(now_s)
        elif record.is_open and packet.attempt >= record.attempt:
            running = record.state is RecordState.RUNNING
            if running:
                self._apply_run_stopped(record, now_s)
            unknown = running or record.may_have_run
            code = ResultCode.CANCELLED_RUNNING if unknown else ResultCode.CANCELLED
            self._conclude(record, code, now_s)
        return self._decide_all(now_s)

    def observe_answer(self, piece: AnswerPiece, now_s: float) -> list[Action]:
        """Pass on a piece of an answer; pieces of other runs are dropped."""
        record = self._running.get(piece.dispatch_id)
        if record is None or piece.index < record.next_index:
            self.counters["stale_pieces"] += 1
            return []
        if piece.index > record.next_index:
            self._apply_run_stopped(record, now_s)
            self._conclude(record, ResultCode.ANSWER_CUT, now_s)
            return self._decide_all(now_s)
        record.next_index += 1
        self._outcomes.pass_on(record, piece)
        if piece.last:
            state = self._apply_slot_freed(record, now_s)
            self.slots.observe_success(state)
            self.classifier.observe_elapsed(
                record.kind, now_s - record.started_s, counted=record.counted_long
            )
            self._conclude(record, ResultCode.OK, now_s)
        return self._decide_all(now_s)

    def observe_shed(self, dispatch_id: int, now_s: float) -> list[Action]:
        """A target says that it did not run the request and never will."""
        record = self._running.get(dispatch_id)
        if record is None:
            self.counters["stale_sheds"] += 1
            return []
        state = self._apply_slot_freed(record, now_s)
        self.slots.observe_shed(state, now_s)
        self.counters["sheds"] += 1
        record.sheds += 1
        if record.sheds >= MAX_SHEDS:
            self._conclude(record, ResultCode.TARGETS_SHED, now_s)
        elif record.is_past(now_s):
            self._conclude(record, ResultCode.DEADLINE_PASSED, now_s)
        else:
            self._apply_queued(record, front=True)
        return self._decide_all(now_s)

    def decide_tick(self, now_s: float) -> list[Action]:
        """Apply what time alone changes; call it about every 20 ms."""
        for record in self._timers.take_due(now_s):
            if record.is_open and record.is_past(now_s):
                self._apply_deadline(record, now_s)
        self.slots.observe_tick(now_s)
        for record in self._running.values():
            self._observe_long_run(record, now_s)
        self._apply_link_wait(now_s)
        self.records.apply_expiry(now_s)
        self.counters["evicted"] = self.records.evicted
        self.counters["ejections"] = self.slots.ejections
        return self._decide_all(now_s)

    def hand_over_queue(self, now_s: float) -> list[Forward]:
        """Empty the queue and return its requests for another dispatcher.

        Requests of which an earlier run was lost are not handed over, because the other dispatcher
        could refuse them as not run; the next event returns their unknown outcomes.
        """
        handed: list[Forward] = []
        for record in sorted(self._queue, key=lambda r: r.sequence):
            if record.may_have_run:
                self._conclude(record, ResultCode.TARGET_LOST, now_s)
                continue
            self._queue.apply_removed(record)
            handed.extend(waiter.forward for waiter in record.waiters)
            # The attempts before the first one that waits were proved not run. Their fence stays,
            # and the first one may come back.
            record.state, record.code = RecordState.REFUSED, ResultCode.SHUTTING_DOWN
            record.attempt = record.waiters[0].attempt - 1
            record.waiters = []
            self.records.apply_finished(record, now_s)
        return handed

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or running."""
        return not self._running and not len(self._queue)

    def list_open_requests(self) -> list[OpenRequest]:
        """Return what is queued and running."""
        return list_open_requests(self.records)

    # Admission

    def _observe_new(self, forward: Forward, now_s: float) -> None:
        proven = is_first_or_has_receipt(self.signer, forward)
        record = self.records.apply_new(forward)
        self._admit(record, forward, proven, now_s)

    def _observe_known(self, record: Record, forward: Forward, now_s: float) -> None:
        packet = forward.packet
        attempt = packet.attempt
        waiter = next((w for w in record.waiters if w.attempt == attempt), None)
        if waiter is not None:
            if forward.entry_vm not in waiter.entry_vms:
                waiter.entry_vms = [*waiter.entry_vms[-(MAX_WAITERS - 1) :], forward.entry_vm]
            return
        if attempt in record.told:
            self._outcomes.finish(forward.entry_vm, forward, record.told[attempt])
            return
        waiter = Waiter(forward, [forward.entry_vm])
        if record.is_open:
            attach_waiter(record=record, waiter=waiter, signer=self.signer, outcomes=self._outcomes)
        elif record.code == ResultCode.CANCELLED and attempt <= record.attempt:
            self._observe_cancelled(record, waiter, now_s)
        elif attempt <= record.attempt:
            self._outcomes.tell(record, waiter, ResultCode.NO_PROOF)
        else:
            self._observe_retry(record, waiter, now_s)

    def _observe_cancelled(self, record: Record, waiter: Waiter, now_s: float) -> None:
        """Refuse a request that its cancellation has overtaken."""
        proven = is_first_or_has_receipt(self.signer, waiter.forward)
        code = ResultCode.CANCELLED if proven else ResultCode.NO_PROOF
        unproven = self._admission.check_proof(forward=waiter.forward, proven=proven, now_s=now_s)
        code = unproven or code
        packet = waiter.forward.packet
        record.last_deadline_ms = max(record.last_deadline_ms, packet.deadline_ms)
        if code == ResultCode.CANCELLED and waiter.attempt == record.attempt:
            record.state = RecordState.REFUSED
        self._outcomes.tell(record, waiter, code)
        self.records.apply_finished(record, now_s)

    def _observe_retry(self, record: Record, waiter: Waiter, now_s: float) -> None:
        forward = waiter.forward
        if record.state is RecordState.ANSWERED and record.pieces is not None:
            record.attempt = waiter.attempt
            self._outcomes.replay(record, waiter, complete=True)
            self._outcomes.tell(record, waiter, ResultCode.OK)
            return
        if record.state is RecordState.ANSWERED and not forward.packet.idempotent:
            record.attempt = waiter.attempt
            self._outcomes.tell(record, waiter, ResultCode.ANSWER_NOT_KEPT)
            return
        proven = record.state is RecordState.REFUSED and (
            record.attempt == waiter.attempt - 1 or has_receipt(self.signer, forward)
        )
        self._admit(record, forward, proven, now_s)

    def _admit(self, record: Record, forward: Forward, proven: bool, now_s: float) -> None:
        """Queue, refuse or answer as unknown a new attempt of `record`."""
        packet = forward.packet
        if not record.is_open:
            self.records.apply_reopened(record)
        record.forward = forward
        record.attempt = packet.attempt
        record.last_deadline_ms = max(record.last_deadline_ms, packet.deadline_ms)
        record.waiters = [Waiter(forward, [forward.entry_vm])]
        record.state, record.code, record.target = RecordState.QUEUED, 0, ""
        record.sheds, record.dispatch_id, record.may_have_run = 0, 0, False
        record.is_proven = proven
        record.queued_s = now_s
        record.kind = self.classifier.kind_of(packet.address, len(packet.body))
        record.is_long = self.classifier.is_long(record.kind)
        self.counters["requests"] += 1
        self.budget.observe_request()
        self._observe_load(record, now_s)
        code = self._admission.check(record=record, proven=proven, now_s=now_s)
        if code:
            self._conclude(record, code, now_s, queued=False)
            return
        self._apply_queued(record)
        if packet.deadline_ms:
            self._timers.apply_added(record, open_records=len(self._queue) + len(self._running))

    def _observe_load(self, record: Record, now_s: float) -> None:
        self._long_share.observe_request(record.is_long, now_s)
        state = self.slots.get(record.forward.pinned)
        if state is not None and not record.is_long:
            state.pinned_short_s = now_s

    # Runs

    def _apply_queued(self, record: Record, *, front: bool = False) -> None:
        record.state = RecordState.QUEUED
        record.target = ""
        if not front:
            record.sequence = self._next_sequence
            self._next_sequence += 1
        self._queue.apply_push(record, front=front)

    def _decide_all(self, now_s: float) -> list[Action]:
        """Fill free slots from the queue and return the collected actions."""
        if len(self._queue):
            self._binder.apply_fill(now_s)
        return self._outcomes.take()

    def _start(self, record: Record, state: TargetSlots, now_s: float) -> None:
        if record.is_past(now_s):
            self._apply_deadline(record, now_s)
            return
        self._queue.apply_removed(record)
        record.state = RecordState.RUNNING
        record.target = state.name
        record.started_s = now_s
        record.dispatch_id = self._next_dispatch_id
        record.next_index = record.sent_pieces = 0
        record.counted_long = False
        record.pieces = []
        self._next_dispatch_id += 1
        self._running[record.dispatch_id] = record
        record.is_foreign = record.forward.entry_zone != state.zone
        self.slots.apply_taken(
            state, is_foreign=record.is_foreign, is_long=record.is_long, now_s=now_s
        )
        self._waits[record.is_long].observe_start(now_s)
        self.counters["runs"] += 1
        packet = record.forward.packet
        frame = TargetRequest(
            dispatch_id=record.dispatch_id,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            deadline_ms=packet.deadline_ms,
            idempotent=packet.idempotent,
            trace=packet.trace,
            body=packet.body,
        )
        wait_s = now_s - record.queued_s
        self._outcomes.add(SendToTarget(state.name, record.dispatch_id, frame, wait_s))

    def _apply_slot_freed(self, record: Record, now_s: float) -> TargetSlots:
        del self._running[record.dispatch_id]
        state = self.slots.targets[record.target]
        self.slots.apply_freed(
            state, is_foreign=record.is_foreign, is_long=record.is_long, now_s=now_s
        )
        return state

    def _apply_run_stopped(self, record: Record, now_s: float) -> TargetSlots:
        self._outcomes.add(CancelAtTarget(record.target, record.dispatch_id))
        return self._apply_slot_freed(record, now_s)

    def _apply_run_lost(self, record: Record, now_s: float) -> None:
        self._apply_slot_freed(record, now_s)
        if not record.forward.packet.idempotent:
            self._conclude(record, ResultCode.TARGET_LOST, now_s)
            return
        record.may_have_run = True
        again = not record.sent_pieces and not record.forward.pinned
        if again and not record.is_past(now_s) and self.budget.apply_retry():
            self.counters["repeated_runs"] += 1
            self._apply_queued(record, front=True)
            return
        self._conclude(record, ResultCode.ANSWER_CUT, now_s)

    def _observe_long_run(self, record: Record, now_s: float) -> None:
        """Count a run as long work as soon as it has taken long."""
        if record.counted_long or not self.classifier.is_long_run(now_s - record.started_s):
            return
        record.counted_long = True
        self.classifier.observe_running(record.kind)
        if not record.is_long:
            record.is_long = True
            self.slots.apply_long(self.slots.targets[record.target], 1)

    # Time

    def _apply_deadline(self, record: Record, now_s: float) -> None:
        if record.state is RecordState.QUEUED:
            self._conclude(record, ResultCode.DEADLINE_PASSED, now_s)
            return
        state = self._apply_run_stopped(record, now_s)
        mean_s = self.classifier.mean_s[record.is_long]
        if now_s - record.started_s > BLAME_MEANS * mean_s > 0.0:
            self.slots.observe_failure(state, now_s)
        self._conclude(record, ResultCode.NO_ANSWER, now_s)

    def _apply_link_wait(self, now_s: float) -> None:
        """Refuse queued requests that have had no reachable target for too long."""
        for record, code in self._link_wait.list_refused(now_s):
            self._conclude(record, code, now_s)

    # Outcomes

    def _conclude(self, record: Record, code: int, now_s: float, *, queued: bool = True) -> None:
        """Give every waiting attempt of `record` its outcome."""
        if queued and record.state is RecordState.QUEUED:
            self._queue.apply_removed(record)
        self._outcomes.conclude(record, code, now_s)
