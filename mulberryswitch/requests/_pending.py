"""The entry VM's table of forwarded requests that have no outcome yet."""

import heapq
from collections import Counter
from dataclasses import dataclass

from mulberryswitch.contracts import (
    Declined,
    Done,
    Forward,
    ResultCode,
)

from ._actions import Action, ForwardAgain, ReplyToCaller
from ._outcomes import build_outcome
from ._receipts import ReceiptSigner
from ._refusals import build_refusal
from ._retry_budget import RetryBudget

__all__ = ["PendingRequests"]

MAX_PENDING = 65_536
# Together 3 s, longer than it takes until every VM has declared a dead dispatcher's VM dead.
MAX_DECLINES = 30
DECLINE_DELAY_S = 0.1
# Time after the deadline in which the outcome from the dispatcher may still arrive.
DONE_GRACE_S = 1.0
# Requests without a deadline are given up after this time.
MAX_AGE_S = 60.0

PendingKey = tuple[bytes, int, int]


@dataclass(slots=True, eq=False)
class _PendingAttempt:
    forward: Forward
    owner_vms: list[str]
    expires_s: float
    forwarded_s: float
    declines: int = 0
    retry_at_s: float = 0.0
    code: int = 0
    may_have_run: bool = False


class PendingRequests:
    """Table of forwarded attempts whose outcome has not been reported.

    Parameters
    ----------
    vm : str
        This VM.
    signer : ReceiptSigner
        Signs the receipts of refusals.
    max_pending : int
        Maximum number of entries.
    budget : RetryBudget or None
        Budget for forwarding requests again after a lost link; a new one by default.
    """

    def __init__(
        self,
        *,
        vm: str,
        signer: ReceiptSigner,
        max_pending: int = MAX_PENDING,
        budget: RetryBudget | None = None,
    ):
        self.vm = vm
        self.signer = signer
        self.max_pending = max_pending
        self.budget = budget if budget is not None else RetryBudget()
        self.counters: Counter[str] = Counter()
        self._pending: dict[PendingKey, _PendingAttempt] = {}
        self._declined: dict[PendingKey, _PendingAttempt] = {}
        self._timers: list[tuple[float, int, PendingKey]] = []
        self._timer_count = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_idle(self) -> bool:
        """Whether every forwarded request has an outcome."""
        return not self._pending

    def observe_forwarded(self, forward: Forward, owner_vm: str, now_s: float) -> list[Action]:
        """Register a copy before it is forwarded to `owner_vm`.

        If this returns a refusal, the copy must not be forwarded.
        """
        key = _key_of(forward)
        entry = self._pending.get(key)
        if entry is not None:
            entry.owner_vms.append(owner_vm)
            entry.forwarded_s = now_s
            return []
        if len(self._pending) >= self.max_pending:
            return self._refuse(forward, ResultCode.TOO_MANY_PENDING, may_have_run=False)
        self.budget.observe_request()
        deadline_ms = forward.packet.deadline_ms
        expires_s = deadline_ms / 1000.0 + DONE_GRACE_S if deadline_ms else now_s + MAX_AGE_S
        self._pending[key] = _PendingAttempt(forward, [owner_vm], expires_s, now_s)
        self._timer_count += 1
        heapq.heappush(self._timers, (expires_s, self._timer_count, key))
        return []

    def is_pending(self, message: Done | Declined) -> bool:
        """Return whether the attempt that `message` names was forwarded from here."""
        return (message.flow, message.request_id, message.attempt) in self._pending

    def observe_done(self, done: Done, now_s: float) -> list[Action]:
        """Remove an attempt whose outcome the dispatcher has reported to the caller."""
        self._remove((done.flow, done.request_id, done.attempt))
        return []

    def observe_declined(self, declined: Declined, owner_vm: str, now_s: float) -> list[Action]:
        """Handle a copy that `owner_vm` did not run: forward it again after a short delay.

        A caller without a path to the dispatcher passes a message with the code ``NO_PATH``.
        """
        key = (declined.flow, declined.request_id, declined.attempt)
        entry = self._pending.get(key)
        if entry is None or key in self._declined:
            return []
        entry.declines += 1
        if owner_vm in entry.owner_vms:
            entry.owner_vms.remove(owner_vm)
        if entry.owner_vms:
            return []  # another copy is in flight and may run
        entry.code = declined.code
        if entry.declines >= MAX_DECLINES:
            self._remove(key)
            return self._refuse(entry.forward, declined.code, may_have_run=entry.may_have_run)
        entry.retry_at_s = now_s + DECLINE_DELAY_S
        self._declined[key] = entry
        return []

    def observe_link_lost(self, vm: str, lost_s: float, now_s: float) -> list[Action]:
        """Handle the loss of the link to `vm` at `lost_s`; copies sent before may have run."""
        actions: list[Action] = []
        for key, entry in list(self._pending.items()):
            if vm not in entry.owner_vms or entry.forwarded_s > lost_s:
                continue
            entry.may_have_run = True
            entry.owner_vms = [owner for owner in entry.owner_vms if owner != vm]
            if not entry.owner_vms:
                actions.append(self._handle_lost_copy(key, now_s))
        return actions

    def decide_tick(self, now_s: float) -> list[Action]:
        """Forward declined requests again and give up those whose outcome is overdue."""
        actions: list[Action] = []
        for key in [key for key, entry in self._declined.items() if entry.retry_at_s <= now_s]:
            entry = self._declined.pop(key)
            if _is_past_deadline(entry.forward, now_s):
                self._remove(key)
                code = ResultCode.DEADLINE_PASSED
                actions += self._refuse(entry.forward, code, may_have_run=entry.may_have_run)
            else:
                actions.append(ForwardAgain(entry.forward))
        while self._timers and self._timers[0][0] <= now_s:
            _, _, key = heapq.heappop(self._timers)
            entry = self._pending.get(key)
            if entry is not None and entry.expires_s <= now_s:
                self._remove(key)
                actions.append(self._reply(entry.forward, ResultCode.NO_ANSWER))
        return actions

    def _handle_lost_copy(self, key: PendingKey, now_s: float) -> Action:
        entry = self._pending[key]
        may_retry = entry.forward.packet.idempotent and not _is_past_deadline(entry.forward, now_s)
        if may_retry and self.budget.try_spend():
            self.counters["forwarded_again"] += 1
            return ForwardAgain(entry.forward)
        self._remove(key)
        return self._reply(entry.forward, ResultCode.OWNER_LOST)

    def _remove(self, key: PendingKey) -> None:
        self._pending.pop(key, None)
        self._declined.pop(key, None)

    def _refuse(self, forward: Forward, code: int, *, may_have_run: bool) -> list[Action]:
        reply = build_refusal(self.signer, forward, code, may_have_run=may_have_run)
        self.counters[ResultCode(reply.code).name] += 1
        return [ReplyToCaller(reply)]

    def _reply(self, forward: Forward, code: int) -> ReplyToCaller:
        self.counters[ResultCode(code).name] += 1
        return ReplyToCaller(build_outcome(self.signer, forward, code))


def _key_of(forward: Forward) -> PendingKey:
    return forward.packet.flow, forward.packet.request_id, forward.packet.attempt


def _is_past_deadline(forward: Forward, now_s: float) -> bool:
    return 0 < forward.packet.deadline_ms <= now_s * 1000.0
