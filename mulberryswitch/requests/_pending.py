"""The entry VM's table of forwarded requests."""

import heapq
from collections import Counter
from dataclasses import dataclass

from mulberryswitch.contracts import (
    Declined,
    Done,
    Forward,
    Reply,
    ReplyKind,
    ResultCode,
    is_refusal,
)

from ._actions import Action, ForwardAgain, ReplyToCaller
from ._budget import RetryBudget
from ._receipts import ReceiptSigner

__all__ = ["PendingRequests"]

MAX_PENDING = 65_536
# Together 3 s, longer than a dead dispatcher takes to be declared dead by every VM.
MAX_DECLINES = 30
DECLINE_DELAY_S = 0.1
# Time after the deadline in which the dispatcher's own outcome may still arrive.
DONE_GRACE_S = 1.0
# Requests without a deadline leave the table after this time.
MAX_AGE_S = 60.0

PendingKey = tuple[bytes, int, int]


@dataclass(slots=True, eq=False)
class _Pending:
    forward: Forward
    owners: list[str]
    expires_s: float
    forwarded_s: float
    declines: int = 0
    again_s: float = 0.0
    code: int = 0
    may_have_run: bool = False


class PendingRequests:
    """Forwarded requests whose outcome has not been reported.

    Parameters
    ----------
    vm : str
        This VM.
    signer : ReceiptSigner
        Signs the receipts of refusals.
    max_pending : int
        Bound on the entries.
    budget : RetryBudget or None
        Budget of requests that are forwarded again after a lost link.
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
        self._pending: dict[PendingKey, _Pending] = {}
        self._waiting: dict[PendingKey, _Pending] = {}
        self._timers: list[tuple[float, int, PendingKey]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_idle(self) -> bool:
        """Whether every forwarded request has its outcome."""
        return not self._pending

    def observe_forwarded(self, forward: Forward, owner_vm: str, now_s: float) -> list[Action]:
        """Enter a copy before it is forwarded to `owner_vm`; forward it unless this refuses it."""
        key = _key_of(forward)
        entry = self._pending.get(key)
        if entry is not None:
            entry.owners.append(owner_vm)
            entry.forwarded_s = now_s
            return []
        if len(self._pending) >= self.max_pending:
            return self._refuse(forward, ResultCode.TOO_MANY_PENDING, may_have_run=False)
        self.budget.observe_request()
        deadline_ms = forward.packet.deadline_ms
        expires_s = deadline_ms / 1000.0 + DONE_GRACE_S if deadline_ms else now_s + MAX_AGE_S
        self._pending[key] = _Pending(forward, [owner_vm], expires_s, now_s)
        self._count += 1
        heapq.heappush(self._timers, (expires_s, self._count, key))
        return []

    def is_pending(self, message: Done | Declined) -> bool:
        """Return whether the attempt that `message` names was forwarded from here."""
        return (message.flow, message.request_id, message.attempt) in self._pending

    def observe_done(self, done: Done, now_s: float) -> list[Action]:
        """The dispatcher told the caller the outcome."""
        self._remove((done.flow, done.request_id, done.attempt))
        return []

    def observe_declined(self, declined: Declined, now_s: float) -> list[Action]:
        """One copy was not run; forward it again after a short delay.

        Without a path to the dispatcher, call this with ``NO_PATH``.
        """
        key = (declined.flow, declined.request_id, declined.attempt)
        entry = self._pending.get(key)
        if entry is None or key in self._waiting:
            return []
        entry.declines += 1
        del entry.owners[:1]
        if entry.owners:
            return []  # another copy is on its way and may run
        entry.code = declined.code
        if entry.declines >= MAX_DECLINES:
            self._remove(key)
            return self._refuse(entry.forward, declined.code, may_have_run=entry.may_have_run)
        entry.again_s = now_s + DECLINE_DELAY_S
        self._waiting[key] = entry
        return []

    def observe_link_lost(self, vm: str, lost_s: float, now_s: float) -> list[Action]:
        """The link to `vm` broke at `lost_s`; what was forwarded there before may have run."""
        actions: list[Action] = []
        for key, entry in list(self._pending.items()):
            if vm not in entry.owners or entry.forwarded_s > lost_s:
                continue
            entry.may_have_run = True
            entry.owners = [owner for owner in entry.owners if owner != vm]
            if not entry.owners:
                actions.append(self._apply_link_lost(key, now_s))
        return actions

    def decide_tick(self, now_s: float) -> list[Action]:
        """Forward declined requests again and end those without an outcome."""
        actions: list[Action] = []
        for key in [key for key, entry in self._waiting.items() if entry.again_s <= now_s]:
            entry = self._waiting.pop(key)
            if _is_past(entry.forward, now_s):
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

    def _apply_link_lost(self, key: PendingKey, now_s: float) -> Action:
        entry = self._pending[key]
        again = entry.forward.packet.idempotent and not _is_past(entry.forward, now_s)
        if again and self.budget.apply_retry():
            self.counters["forwarded_again"] += 1
            return ForwardAgain(entry.forward)
        self._remove(key)
        return self._reply(entry.forward, ResultCode.OWNER_LOST)

    def _remove(self, key: PendingKey) -> None:
        self._pending.pop(key, None)
        self._waiting.pop(key, None)

    def _refuse(self, forward: Forward, code: int, *, may_have_run: bool) -> list[Action]:
        """Refuse an attempt, or call it unknown where a refusal could not be proved."""
        packet = forward.packet
        proven = packet.attempt == 1 or packet.idempotent
        proven = proven or self.signer.verify(
            packet.address, packet.flow, packet.request_id, packet.attempt - 1, packet.receipt
        )
        if may_have_run:
            code = ResultCode.OWNER_LOST
        elif not proven:
            code = ResultCode.NO_PROOF
        elif not is_refusal(code):
            code = ResultCode.NO_PATH  # the peer's reason to decline means nothing to a caller
        return [self._reply(forward, code)]

    def _reply(self, forward: Forward, code: int) -> ReplyToCaller:
        packet = forward.packet
        refused = is_refusal(code)
        self.counters[ResultCode(code).name] += 1
        receipt = b""
        if refused:
            receipt = self.signer.sign(
                packet.address, packet.flow, packet.request_id, packet.attempt
            )
        reply = Reply(
            kind=ReplyKind.REFUSED if refused else ReplyKind.UNKNOWN,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            code=code,
            receipt=receipt,
        )
        return ReplyToCaller(reply)


def _key_of(forward: Forward) -> PendingKey:
    return forward.packet.flow, forward.packet.request_id, forward.packet.attempt


def _is_past(forward: Forward, now_s: float) -> bool:
    return 0 < forward.packet.deadline_ms <= now_s * 1000.0
