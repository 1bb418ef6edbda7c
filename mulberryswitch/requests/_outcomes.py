"""Replies to callers and reports to entry VMs."""

from collections import Counter

from mulberryswitch.contracts import (
    MAX_PIECE_BYTES,
    AnswerPiece,
    Done,
    Forward,
    Reply,
    ReplyKind,
    ResultCode,
    is_refusal,
)

from ._actions import Action, NotifyEntryVM, ReplyToCaller
from ._receipts import ReceiptSigner
from ._records import MAX_TOLD, Record, RecordState, RequestRecords, Waiter

__all__ = ["Outcomes", "build_outcome"]


def build_outcome(signer: ReceiptSigner, forward: Forward, code: int) -> Reply:
    """Return the reply that refuses an attempt with a receipt or calls it unknown."""
    packet = forward.packet
    refused = is_refusal(code)
    receipt = b""
    if refused:
        receipt = signer.sign(packet.address, packet.flow, packet.request_id, packet.attempt)
    return Reply(
        kind=ReplyKind.REFUSED if refused else ReplyKind.UNKNOWN,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        code=code,
        receipt=receipt,
    )


class Outcomes:
    """Collect the actions that tell callers and entry VMs about their attempts."""

    def __init__(self, *, signer: ReceiptSigner, records: RequestRecords, counters: Counter[str]):
        self.signer = signer
        self.records = records
        self.counters = counters
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Add an action in order."""
        self._actions.append(action)

    def take(self) -> list[Action]:
        """Return the collected actions and start anew."""
        actions, self._actions = self._actions, []
        return actions

    def tell(self, record: Record, waiter: Waiter, code: int) -> None:
        """Tell the caller and the entry VMs the outcome of one attempt."""
        record.told[waiter.attempt] = code
        if len(record.told) > MAX_TOLD:
            del record.told[min(record.told)]
        self.counters[ResultCode(code).name] += 1
        if code != ResultCode.OK:
            self.add(ReplyToCaller(build_outcome(self.signer, waiter.forward, code)))
        for entry_vm in waiter.entry_vms:
            self.finish(entry_vm, waiter.forward, code)

    def conclude(self, record: Record, code: int, now_s: float) -> None:
        """Give every waiting attempt of `record` its outcome."""
        if record.may_have_run and is_refusal(code):
            # An earlier run of this request was lost, so it can't be refused as not run.
            code = ResultCode.TARGET_LOST
        elif not record.is_proven and is_refusal(code):
            # An attempt before an idempotent retry may have run elsewhere.
            code = ResultCode.NO_PROOF
        record.code = code
        if code == ResultCode.OK:
            record.state = RecordState.ANSWERED
        else:
            record.state = RecordState.REFUSED if is_refusal(code) else RecordState.UNKNOWN
        for waiter in record.waiters:
            unproven = is_refusal(code) and not waiter.proven
            self.tell(record, waiter, ResultCode.NO_PROOF if unproven else code)
            if unproven:
                record.state = RecordState.UNKNOWN
        record.waiters = []
        self.records.apply_finished(record, now_s)

    def finish(self, entry_vm: str, forward: Forward, code: int) -> None:
        """Tell an entry VM that the caller knows the outcome."""
        packet = forward.packet
        done = Done(
            flow=packet.flow, request_id=packet.request_id, attempt=packet.attempt, code=code
        )
        self.add(NotifyEntryVM(entry_vm, done))

    def pass_on(self, record: Record, piece: AnswerPiece) -> None:
        """Pass on a target's piece in parts that fit a datagram, and keep them for replay."""
        body = piece.body
        starts = range(0, max(1, len(body)), MAX_PIECE_BYTES)
        for start in starts:
            part = body[start : start + MAX_PIECE_BYTES]
            last = piece.last and start == starts[-1]
            self.records.apply_piece(record, part)
            for waiter in record.waiters:
                self._send_part(waiter, record.sent_pieces, last, part)
            record.sent_pieces += 1

    def replay(self, record: Record, waiter: Waiter, *, complete: bool) -> None:
        """Send what is kept of the answer to one more attempt."""
        pieces = record.pieces or []
        for index, part in enumerate(pieces):
            self._send_part(waiter, index, complete and index == len(pieces) - 1, part)

    def _send_part(self, waiter: Waiter, index: int, last: bool, body: bytes) -> None:
        packet = waiter.forward.packet
        reply = Reply(
            kind=ReplyKind.ANSWER,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            index=index,
            last=last,
            body=body,
        )
        self.add(ReplyToCaller(reply))
