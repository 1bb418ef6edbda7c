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
from ._classifier import WorkClassifier
from ._link_timeout import LinkTimeout
from ._open_requests import OpenRequest, list_open_requests
from ._outcomes import Outcomes
from ._proof import has_receipt, is_first_or_has_receipt
from ._queue import RequestQueue
from ._queue_wait import QueueWaitEstimator
from ._receipts import ReceiptSigner
from ._records import (
    Record,
    RecordState,
    RequestRecords,
    Waiter,
)
from ._retry_budget import RetryBudget
from ._scheduler import SlotScheduler
from ._slot_reserve import SlotReserve
from ._slots import SlotTable, TargetSlots
from ._timers import DeadlineTimers

__all__ = ["Dispatcher"]

MAX_QUEUED = 4096
MAX_SHEDS = 20
# A run without an answer counts as a failure of its target only if it took more than this many
# mean run times of its class; a deadline that was too short is not the target's fault.
FAILURE_MEAN_RUNS = 4.0


class Dispatcher:
    """Queue the requests of one service and assign them to free slots of its targets.

    A request stays in the queue until a slot is free, so that the target is chosen as late as
    possible. The dispatcher does no I/O: each event method returns the actions to carry out, in
    order. Times are seconds since the epoch and never decrease.

    Parameters
    ----------
    vm, zone, service : str
        This VM, its zone and the service.
    slots : int
        Slots per target.
    signer : ReceiptSigner
        Signs and verifies receipts.
    first_dispatch_id : int
        First dispatch id. Dispatch ids must be unique within a process.
    max_queued : int
        Maximum number of queued requests.
    records : RequestRecords or None
        Table of request records; a new one by default.
    budget : RetryBudget or None
        Budget for running requests again after their target was lost; a new one by default.
    spill : SpillPolicy or None
        Limits the slots of a target that requests from other zones may hold.
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
        self._slot_reserve = SlotReserve(classifier=self.classifier)
        self._wait_estimators = {False: QueueWaitEstimator(), True: QueueWaitEstimator()}
        self._running: dict[int, Record] = {}
        self._timers = DeadlineTimers()
        self._next_dispatch_id = first_dispatch_id
        self._next_sequence = 1
        self._outcomes = Outcomes(signer=signer, records=self.records, counters=self.counters)
        self._scheduler = SlotScheduler(
            queue=self._queue,
            slots=self.slots,
            slot_reserve=self._slot_reserve,
            start=self._start_run,
        )
        self._admission = Admission(
            queue=self._queue,
            slots=self.slots,
            records=self.records,
            scheduler=self._scheduler,
            classifier=self.classifier,
            wait_estimators=self._wait_estimators,
            max_queued=max_queued,
        )
        self._link_timeout = LinkTimeout(queue=self._queue, slots=self.slots)

    # Events

    def observe_targets(self, targets: Sequence[Target], slots: int, now_s: float) -> list[Action]:
        """Update the published targets of the service and the number of slots per target."""
        self.slots.observe_targets(targets, slots, now_s)
        return self._schedule(now_s)

    def observe_target_up(self, target: str, now_s: float) -> list[Action]:
        """Handle the opening of the link to `target`."""
        self.slots.observe_up(target, now_s)
        return self._schedule(now_s)

    def observe_target_lost(self, target: str, now_s: float) -> list[Action]:
        """Handle the loss of the link to `target`; requests in progress there may have run."""
        for record in [r for r in self._running.values() if r.target == target]:
            self._handle_lost_run(record, now_s)
        self.slots.observe_lost(target, now_s)
        for record in [r for r in self._queue if r.forward.pinned == target]:
            self._resolve(record, ResultCode.TARGET_LOST_BEFORE_SEND, now_s)
        return self._schedule(now_s)

    def observe_report(self, target: str, report: LoadReport, now_s: float) -> list[Action]:
        """Store the load report of a target, which only affects the order of free targets."""
        state = self.slots.get(target)
        if state is not None:
            state.report, state.report_s = report, now_s
        return []

    def observe_request(self, forward: Forward, now_s: float) -> list[Action]:
        """Handle an attempt, or a copy of one, that an entry VM forwarded."""
        packet = forward.packet
        record = self.records.get((packet.flow, packet.request_id))
        if record is None:
            self._handle_new(forward, now_s)
        else:
            self._handle_known(record, forward, now_s)
        self.records.expire(now_s)
        return self._schedule(now_s)

    def observe_cancel(self, forward: Forward, now_s: float) -> list[Action]:
        """Cancel the request that `forward` names; the cancel may arrive before the request."""
        packet = forward.packet
        record = self.records.get((packet.flow, packet.request_id))
        if record is None:
            # The outcome is reported when the request arrives. The state is UNKNOWN because an
            # earlier record of the request may have expired.
            record = self.records.add(forward)
            record.state, record.code = RecordState.UNKNOWN, ResultCode.CANCELLED
            record.last_deadline_ms = packet.deadline_ms
            record.attempt = packet.attempt
            self.records.start_retention(record, now_s)
            self.records.expire(now_s)
        elif record.is_open and packet.attempt >= record.attempt:
            running = record.state is RecordState.RUNNING
            if running:
                self._cancel_run(record, now_s)
            unknown = running or record.may_have_run
            code = ResultCode.CANCELLED_RUNNING if unknown else ResultCode.CANCELLED
            self._resolve(record, code, now_s)
        return self._schedule(now_s)

    def observe_answer(self, piece: AnswerPiece, now_s: float) -> list[Action]:
        """Relay a piece of an answer; pieces of ended runs and repeated pieces are dropped."""
        record = self._running.get(piece.dispatch_id)
        if record is None or piece.index < record.next_index:
            self.counters["stale_pieces"] += 1
            return []
        if piece.index > record.next_index:
            self._cancel_run(record, now_s)
            self._resolve(record, ResultCode.ANSWER_CUT, now_s)
            return self._schedule(now_s)
        record.next_index += 1
        self._outcomes.relay_piece(record, piece)
        if piece.last:
            state = self._release_slot(record, now_s)
            self.slots.observe_success(state)
            self.classifier.observe_elapsed(
                record.kind, now_s - record.started_s, already_counted=record.counted_long
            )
            self._resolve(record, ResultCode.OK, now_s)
        return self._schedule(now_s)

    def observe_shed(self, dispatch_id: int, now_s: float) -> list[Action]:
        """Handle a shed: the target did not run the request and never will."""
        record = self._running.get(dispatch_id)
        if record is None:
            self.counters["stale_sheds"] += 1
            return []
        state = self._release_slot(record, now_s)
        self.slots.observe_shed(state, now_s)
        self.counters["sheds"] += 1
        record.sheds += 1
        if record.sheds >= MAX_SHEDS:
            self._resolve(record, ResultCode.TARGETS_SHED, now_s)
        elif record.is_past_deadline(now_s):
            self._resolve(record, ResultCode.DEADLINE_PASSED, now_s)
        else:
            self._enqueue(record, front=True)
        return self._schedule(now_s)

    def decide_tick(self, now_s: float) -> list[Action]:
        """Handle deadlines, timeouts and expiry; call it about every 20 ms."""
        for record in self._timers.pop_due(now_s):
            if record.is_open and record.is_past_deadline(now_s):
                self._handle_deadline(record, now_s)
        self.slots.observe_tick(now_s)
        for record in self._running.values():
            self._update_long_run(record, now_s)
        self._refuse_unreachable(now_s)
        self.records.expire(now_s)
        self.counters["evicted"] = self.records.evicted
        self.counters["ejections"] = self.slots.ejections
        return self._schedule(now_s)

    def hand_over_queue(self, now_s: float) -> list[Forward]:
        """Empty the queue and return its requests for another dispatcher.

        Requests whose earlier run was lost are not handed over, because the other dispatcher does
        not know of that run and could refuse them as not run. Their outcome is unknown; the
        actions that report it are returned by the next event.
        """
        handed: list[Forward] = []
        for record in sorted(self._queue, key=lambda r: r.sequence):
            if record.may_have_run:
                self._resolve(record, ResultCode.TARGET_LOST, now_s)
                continue
            self._queue.remove(record)
            handed.extend(waiter.forward for waiter in record.waiters)
            # The attempts before the first waiting one are known not to have run. The record keeps
            # late copies of them from running, and lets the first waiting attempt come back.
            record.state, record.code = RecordState.REFUSED, ResultCode.SHUTTING_DOWN
            record.attempt = record.waiters[0].attempt - 1
            record.waiters = []
            self.records.start_retention(record, now_s)
        return handed

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or running."""
        return not self._running and not len(self._queue)

    def list_open_requests(self) -> list[OpenRequest]:
        """Return the requests that are queued or running."""
        return list_open_requests(self.records)

    # Admission

    def _handle_new(self, forward: Forward, now_s: float) -> None:
        has_proof = is_first_or_has_receipt(self.signer, forward)
        record = self.records.add(forward)
        self._admit(record, forward, has_proof, now_s)

    def _handle_known(self, record: Record, forward: Forward, now_s: float) -> None:
        packet = forward.packet
        attempt = packet.attempt
        waiter = next((w for w in record.waiters if w.attempt == attempt), None)
        if waiter is not None:
            if forward.entry_vm not in waiter.entry_vms:
                waiter.entry_vms = [*waiter.entry_vms[-(MAX_WAITERS - 1) :], forward.entry_vm]
            return
        if attempt in record.reported_codes:
            self._outcomes.notify_entry_vm(
                forward.entry_vm, forward, record.reported_codes[attempt]
            )
            return
        waiter = Waiter(forward, [forward.entry_vm])
        if record.is_open:
            attach_waiter(record=record, waiter=waiter, signer=self.signer, outcomes=self._outcomes)
        elif record.code == ResultCode.CANCELLED and attempt <= record.attempt:
            self._handle_cancelled(record, waiter, now_s)
        elif attempt <= record.attempt:
            self._outcomes.report(record, waiter, ResultCode.NO_PROOF)
        else:
            self._handle_retry(record, waiter, now_s)

    def _handle_cancelled(self, record: Record, waiter: Waiter, now_s: float) -> None:
        """Refuse a request whose cancellation arrived before it."""
        has_proof = is_first_or_has_receipt(self.signer, waiter.forward)
        code = ResultCode.CANCELLED if has_proof else ResultCode.NO_PROOF
        proof_code = self._admission.check_proof(
            forward=waiter.forward, has_proof=has_proof, now_s=now_s
        )
        code = proof_code or code
        packet = waiter.forward.packet
        record.last_deadline_ms = max(record.last_deadline_ms, packet.deadline_ms)
        if code == ResultCode.CANCELLED and waiter.attempt == record.attempt:
            record.state = RecordState.REFUSED
        self._outcomes.report(record, waiter, code)
        self.records.start_retention(record, now_s)

    def _handle_retry(self, record: Record, waiter: Waiter, now_s: float) -> None:
        forward = waiter.forward
        if record.state is RecordState.ANSWERED and record.pieces is not None:
            record.attempt = waiter.attempt
            self._outcomes.replay(record, waiter, complete=True)
            self._outcomes.report(record, waiter, ResultCode.OK)
            return
        if record.state is RecordState.ANSWERED and not forward.packet.idempotent:
            record.attempt = waiter.attempt
            self._outcomes.report(record, waiter, ResultCode.ANSWER_NOT_KEPT)
            return
        has_proof = record.state is RecordState.REFUSED and (
            record.attempt == waiter.attempt - 1 or has_receipt(self.signer, forward)
        )
        self._admit(record, forward, has_proof, now_s)

    def _admit(self, record: Record, forward: Forward, has_proof: bool, now_s: float) -> None:
        """Queue a new attempt of `record`, refuse it, or report its outcome as unknown."""
        packet = forward.packet
        if not record.is_open:
            self.records.reopen(record)
        record.forward = forward
        record.attempt = packet.attempt
        record.last_deadline_ms = max(record.last_deadline_ms, packet.deadline_ms)
        record.waiters = [Waiter(forward, [forward.entry_vm])]
        record.state, record.code, record.target = RecordState.QUEUED, 0, ""
        record.sheds, record.dispatch_id, record.may_have_run = 0, 0, False
        record.has_proof = has_proof
        record.queued_s = now_s
        record.kind = self.classifier.kind_of(packet.address, len(packet.body))
        record.is_long = self.classifier.is_long(record.kind)
        self.counters["requests"] += 1
        self.budget.observe_request()
        self._record_arrival(record, now_s)
        code = self._admission.check(record=record, has_proof=has_proof, now_s=now_s)
        if code:
            self._resolve(record, code, now_s, queued=False)
            return
        self._enqueue(record)
        if packet.deadline_ms:
            self._timers.add(record, open_records=len(self._queue) + len(self._running))

    def _record_arrival(self, record: Record, now_s: float) -> None:
        self._slot_reserve.observe_request(record.is_long, now_s)
        state = self.slots.get(record.forward.pinned)
        if state is not None and not record.is_long:
            state.last_pinned_short_s = now_s

    # Runs

    def _enqueue(self, record: Record, *, front: bool = False) -> None:
        record.state = RecordState.QUEUED
        record.target = ""
        if not front:
            record.sequence = self._next_sequence
            self._next_sequence += 1
        self._queue.push(record, front=front)

    def _schedule(self, now_s: float) -> list[Action]:
        """Fill free slots from the queue and return the collected actions."""
        if len(self._queue):
            self._scheduler.fill_slots(now_s)
        return self._outcomes.take_actions()

    def _start_run(self, record: Record, state: TargetSlots, now_s: float) -> None:
        if record.is_past_deadline(now_s):
            self._handle_deadline(record, now_s)
            return
        self._queue.remove(record)
        record.state = RecordState.RUNNING
        record.target = state.name
        record.started_s = now_s
        record.dispatch_id = self._next_dispatch_id
        record.next_index = record.sent_pieces = 0
        record.counted_long = False
        record.pieces = []
        self._next_dispatch_id += 1
        self._running[record.dispatch_id] = record
        record.is_remote = record.forward.entry_zone != state.zone
        self.slots.acquire(state, is_remote=record.is_remote, is_long=record.is_long, now_s=now_s)
        self._wait_estimators[record.is_long].observe_start(now_s)
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
        self._outcomes.add_action(SendToTarget(state.name, record.dispatch_id, frame, wait_s))

    def _release_slot(self, record: Record, now_s: float) -> TargetSlots:
        del self._running[record.dispatch_id]
        state = self.slots.targets[record.target]
        self.slots.release(state, is_remote=record.is_remote, is_long=record.is_long, now_s=now_s)
        return state

    def _cancel_run(self, record: Record, now_s: float) -> TargetSlots:
        self._outcomes.add_action(CancelAtTarget(record.target, record.dispatch_id))
        return self._release_slot(record, now_s)

    def _handle_lost_run(self, record: Record, now_s: float) -> None:
        self._release_slot(record, now_s)
        if not record.forward.packet.idempotent:
            self._resolve(record, ResultCode.TARGET_LOST, now_s)
            return
        record.may_have_run = True
        may_retry = not record.sent_pieces and not record.forward.pinned
        if may_retry and not record.is_past_deadline(now_s) and self.budget.try_spend():
            self.counters["repeated_runs"] += 1
            self._enqueue(record, front=True)
            return
        self._resolve(record, ResultCode.ANSWER_CUT, now_s)

    def _update_long_run(self, record: Record, now_s: float) -> None:
        """Count a run as long work as soon as its elapsed time is long."""
        if record.counted_long or not self.classifier.is_long_run(now_s - record.started_s):
            return
        record.counted_long = True
        self.classifier.observe_long_run(record.kind)
        if not record.is_long:
            record.is_long = True
            self.slots.adjust_long(self.slots.targets[record.target], 1)

    # Time

    def _handle_deadline(self, record: Record, now_s: float) -> None:
        if record.state is RecordState.QUEUED:
            self._resolve(record, ResultCode.DEADLINE_PASSED, now_s)
            return
        state = self._cancel_run(record, now_s)
        mean_s = self.classifier.mean_s[record.is_long]
        if now_s - record.started_s > FAILURE_MEAN_RUNS * mean_s > 0.0:
            self.slots.observe_failure(state, now_s)
        self._resolve(record, ResultCode.NO_ANSWER, now_s)

    def _refuse_unreachable(self, now_s: float) -> None:
        """Refuse queued requests that have had no reachable target for too long."""
        for record, code in self._link_timeout.list_timed_out(now_s):
            self._resolve(record, code, now_s)

    # Outcomes

    def _resolve(self, record: Record, code: int, now_s: float, *, queued: bool = True) -> None:
        """End `record` with `code` and report the outcome to every waiting attempt."""
        if queued and record.state is RecordState.QUEUED:
            self._queue.remove(record)
        self._outcomes.resolve(record, code, now_s)
