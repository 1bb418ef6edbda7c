"""Stateful property test of a dispatcher with fake targets."""

import unittest
from collections import Counter
from dataclasses import dataclass, replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mulberryswitch.contracts import LoadReport, ReplyKind, TargetState
from mulberryswitch.requests import (
    CancelAtTarget,
    ReplyToCaller,
    RequestRecords,
    RetryBudget,
    SendToTarget,
)

from .builders import (
    ADDRESS,
    SIGNER,
    ZONES,
    build_dispatcher,
    build_forward,
    build_piece,
    build_targets,
)

SLOTS = 2
TARGETS = 4
INDEX = st.integers(0, 1000)
DEADLINES_S = st.sampled_from([None, 0.2, 2.0, 2.0, 20.0, 59.0, 200.0])


@dataclass
class Run:
    """One run at a fake target."""

    target: str
    key: tuple
    attempt: int
    next_index: int = 0
    sent: bytes = b""
    shed: bool = False
    record_expired: bool = False


class DispatcherMachine(RuleBasedStateMachine):
    """Checks invariants of the dispatcher under reordering, copies, retries and failures.

    A non-idempotent request runs at most once unless shed, a refused attempt never runs, every
    attempt gets exactly one outcome per record, an answer consists of the pieces of a single run,
    and no target gets more requests than it has slots.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.up = {f"t{i}" for i in range(TARGETS)}
        self.runs = {}
        self.active = {}
        self.forwards = []
        self.receipts = {}
        self.refused = set()
        self.finals = Counter()
        self.allowed = Counter()
        self.answers = {}

    @initialize(max_records=st.sampled_from([4, 1000]), max_queued=st.sampled_from([3, 100]))
    def start(self, max_records, max_queued):
        self.dispatcher = build_dispatcher(
            targets=TARGETS,
            slots=SLOTS,
            now_s=self.now_s,
            max_queued=max_queued,
            records=RequestRecords(max_records=max_records),
            budget=RetryBudget(burst=3.0),
        )

    # Rules

    @rule(
        idempotent=st.booleans(),
        deadline_s=DEADLINES_S,
        zone=st.sampled_from(ZONES),
        pinned=st.sampled_from(["", "", "", "t0", "t9"]),
        size=st.sampled_from([0, 1000]),
        count=st.integers(1, 6),
    )
    def send_new(self, idempotent, deadline_s, zone, pinned, size, count):
        deadline_ms = int((self.now_s + deadline_s) * 1000) if deadline_s else 0
        for _ in range(count):
            forward = build_forward(
                len(self.forwards),
                zone=zone,
                pinned=pinned,
                deadline_ms=deadline_ms,
                idempotent=idempotent,
                body=bytes(size),
            )
            self.deliver(forward)

    @rule(
        index=INDEX,
        with_receipt=st.booleans(),
        skipped=st.integers(1, 2),
        more_s=DEADLINES_S,
        wait_s=st.sampled_from([0.0, 0.0, 100.0]),
    )
    def send_retry(self, index, with_receipt, skipped, more_s, wait_s):
        if not self.forwards:
            return
        if wait_s:  # beyond the retention of records
            self.advance(wait_s)
        old = self.forwards[index % len(self.forwards)]
        key = self.key_of(old)
        attempt = max(f.packet.attempt for f in self.forwards if self.key_of(f) == key) + skipped
        receipt = self.receipts.get((*key, attempt - 1), b"") if with_receipt else b""
        deadline_ms = int((self.now_s + more_s) * 1000) if more_s else 0
        packet = replace(old.packet, attempt=attempt, receipt=receipt, deadline_ms=deadline_ms)
        if attempt <= 6:
            self.deliver(replace(old, packet=packet))

    @rule(index=INDEX, entry_vm=st.sampled_from(["vm2", "vm3"]))
    def send_copy(self, index, entry_vm):
        if self.forwards:
            forward = self.forwards[index % len(self.forwards)]
            self.deliver(replace(forward, entry_vm=entry_vm))

    @rule(index=INDEX)
    def send_late_first_attempt(self, index):
        """An attempt arrives for the first time after its retry."""
        if not self.forwards:
            return
        forward = self.forwards[index % len(self.forwards)]
        attempt = forward.packet.attempt - 1
        seen = {(self.key_of(f), f.packet.attempt) for f in self.forwards}
        if attempt and (self.key_of(forward), attempt) not in seen:
            packet = replace(forward.packet, attempt=attempt, receipt=b"")
            self.deliver(replace(forward, packet=packet))

    @rule(index=INDEX, last=st.booleans(), size=st.sampled_from([0, 5, 9000, 40_000]))
    def answer(self, index, last, size):
        if not self.active:
            return
        dispatch_id = sorted(self.active)[index % len(self.active)]
        run = self.active[dispatch_id]
        body = repr((run.key, dispatch_id)).encode() + bytes(size)
        piece = build_piece(dispatch_id, index=run.next_index, last=last, body=body)
        run.next_index += 1
        run.sent += body
        if last:
            del self.active[dispatch_id]
        self.apply(self.dispatcher.observe_answer(piece, self.now_s))

    @rule(index=INDEX, shed=st.booleans(), piece_index=st.integers(0, 2))
    def send_for_ended_run(self, index, shed, piece_index):
        """A target answers or sheds a run that the dispatcher has already ended."""
        ended = sorted(set(self.runs) - set(self.active))
        if not ended:
            return
        dispatch_id = ended[index % len(ended)]
        if shed:
            self.apply(self.dispatcher.observe_shed(dispatch_id, self.now_s))
        else:
            piece = build_piece(dispatch_id, index=piece_index, body=b"crossed")
            self.apply(self.dispatcher.observe_answer(piece, self.now_s))

    @rule(index=INDEX)
    def shed(self, index):
        unstarted = sorted(i for i, run in self.active.items() if not run.next_index)
        if unstarted:
            dispatch_id = unstarted[index % len(unstarted)]
            self.active.pop(dispatch_id).shed = True
            self.apply(self.dispatcher.observe_shed(dispatch_id, self.now_s))

    @rule(index=INDEX)
    def cancel(self, index):
        if self.forwards:
            forward = self.forwards[index % len(self.forwards)]
            self.allow_after_expiry(self.key_of(forward))
            self.apply(self.dispatcher.observe_cancel(forward, self.now_s))

    @rule(name=st.sampled_from([f"t{i}" for i in range(TARGETS)]))
    def lose_or_restore(self, name):
        if name in self.up:
            self.up.remove(name)
            self.active = {i: run for i, run in self.active.items() if run.target != name}
            self.apply(self.dispatcher.observe_target_lost(name, self.now_s))
        else:
            self.up.add(name)
            self.apply(self.dispatcher.observe_target_up(name, self.now_s))

    @rule(count=st.integers(0, TARGETS), state=st.sampled_from(TargetState))
    def publish_targets(self, count, state):
        targets = build_targets(count, state=state)
        self.apply(self.dispatcher.observe_targets(targets, SLOTS, self.now_s))
        # The daemon opens links to listed targets and announces open links again.
        for target in sorted(self.up):
            self.apply(self.dispatcher.observe_target_up(target, self.now_s))

    @rule(healthy=st.booleans(), running=st.integers(0, 5))
    def report(self, healthy, running):
        report = LoadReport(running=running, healthy=healthy, draining=False)
        self.apply(self.dispatcher.observe_report("t1", report, self.now_s))

    @rule(step_s=st.sampled_from([0.02, 0.06, 0.5, 3.0, 31.0, 100.0]))
    def advance(self, step_s):
        self.now_s += step_s
        self.apply(self.dispatcher.decide_tick(self.now_s))

    @rule()
    def hand_over_and_back(self):
        handed = self.dispatcher.hand_over_queue(self.now_s)
        self.apply(self.dispatcher.decide_tick(self.now_s))
        for forward in handed:
            self.apply(self.dispatcher.observe_request(forward, self.now_s))

    # Checks

    def deliver(self, forward):
        key = self.key_of(forward)
        name = (*key, forward.packet.attempt)
        self.allow_after_expiry(key)
        self.allowed[name] = max(1, self.allowed[name])
        self.forwards.append(forward)
        self.apply(self.dispatcher.observe_request(forward, self.now_s))

    def allow_after_expiry(self, key):
        """Allow one more outcome for the attempts of a request whose record has expired.

        An idempotent request without a deadline is protected from running again after a refusal
        only while its record exists.
        """
        if self.dispatcher.records.get(key) is not None:
            return
        for name in [name for name in self.allowed if name[:2] == key]:
            self.allowed[name] += 1
        packets = [f.packet for f in self.forwards if self.key_of(f) == key]
        for packet in (p for p in packets if p.idempotent and not p.deadline_ms):
            self.refused.discard((*key, packet.attempt))
            for run in self.runs.values():
                is_same_attempt = run.key == key and run.attempt == packet.attempt
                run.record_expired = run.record_expired or is_same_attempt

    def apply(self, actions):
        for action in actions:
            if isinstance(action, SendToTarget):
                self.check_send(action)
            elif isinstance(action, CancelAtTarget):
                assert self.active.pop(action.dispatch_id).target == action.target
            elif isinstance(action, ReplyToCaller):
                self.check_reply(action.reply)

    def check_send(self, action):
        frame = action.frame
        key = (frame.flow, frame.request_id)
        assert action.target in self.up
        assert action.dispatch_id not in self.runs
        assert not 0 < frame.deadline_ms <= self.now_s * 1000
        run = Run(action.target, key, frame.attempt)
        self.runs[action.dispatch_id] = self.active[action.dispatch_id] = run
        assert sum(r.target == action.target for r in self.active.values()) <= SLOTS
        assert (*key, frame.attempt) not in self.refused
        if not frame.idempotent:
            assert sum(r.key == key and not r.shed for r in self.runs.values()) == 1

    def check_reply(self, reply):
        key = (reply.flow, reply.request_id)
        name = (*key, reply.attempt)
        if reply.kind == ReplyKind.REFUSED:
            assert SIGNER.verify(ADDRESS, *name, reply.receipt)
            self.receipts[name] = reply.receipt
            self.refused.add(name)
            idempotent = any(f.packet.idempotent for f in self.forwards if self.key_of(f) == key)
            for run in self.runs.values():
                relevant = run.attempt == reply.attempt or not idempotent
                assert not (run.key == key and relevant) or run.shed or run.record_expired
        if reply.kind == ReplyKind.ANSWER:
            self.check_piece(key, name, reply)
        if reply.kind != ReplyKind.ANSWER or reply.last:
            self.finals[name] += 1
            assert self.finals[name] <= self.allowed[name]

    def check_piece(self, key, name, reply):
        body = b"" if reply.index == 0 else self.answers[name][1]
        assert reply.index == (0 if reply.index == 0 else self.answers[name][0] + 1)
        self.answers[name] = (reply.index, body + reply.body)
        whole = self.answers[name][1]
        own = [run.sent for run in self.runs.values() if run.key == key]
        if reply.last:
            assert whole in own
        else:
            assert any(sent.startswith(whole) for sent in own)

    @staticmethod
    def key_of(forward):
        return forward.packet.flow, forward.packet.request_id

    def teardown(self):
        """Every attempt must have an outcome after enough time and the loss of all targets."""
        if not hasattr(self, "dispatcher"):
            return
        for _ in range(3):
            self.advance(100.0)
        for target in sorted(self.up):
            self.lose_or_restore(target)
        for _ in range(3):
            self.advance(100.0)
        assert self.dispatcher.is_idle and not self.dispatcher.list_open_requests()
        for forward in self.forwards:
            assert self.finals[(*self.key_of(forward), forward.packet.attempt)] >= 1


class DispatcherMachineTest(unittest.TestCase):
    def test_invariants_hold_in_any_order_of_events(self):
        DispatcherMachine.TestCase.settings = settings(
            derandomize=True,
            max_examples=150,
            stateful_step_count=40,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        DispatcherMachine.TestCase("runTest").debug()
