"""Replies to callers and outcome reports to entry VMs."""

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
from ._records import MAX_REPORTED_CODES, Record, RecordState, RequestRecords, Waiter

__all__ = ["Outcomes", "build_outcome"]


def build_outcome(signer: ReceiptSigner, forward: Forward, code: int) -> Reply:
    """Return the reply for `code`: a refusal with a receipt, or an unknown outcome."""
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
    """Collect the actions of one event: messages to callers, entry VMs and targets."""

    def __init__(self, *, signer: ReceiptSigner, records: RequestRecords, counters: Counter[str]):
        self.signer = signer
        self.records = records
        self.counters = counters
        self._actions: list[Action] = []

    def add_action(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the collected actions and clear the list."""
        actions, self._actions = self._actions, []
        return actions

    def report(self, record: Record, waiter: Waiter, code: int) -> None:
        """Report the outcome of one attempt to the caller and to the entry VMs."""
        record.reported_codes[waiter.attempt] = code
        if len(record.reported_codes) > MAX_REPORTED_CODES:
            del record.reported_codes[min(record.reported_codes)]
        self.counters[ResultCode(code).name] += 1
        if code != ResultCode.OK:
            self.add_action(ReplyToCaller(build_outcome(self.signer, waiter.forward, code)))
        for entry_vm in waiter.entry_vms:
            self.notify_entry_vm(entry_vm, waiter.forward, code)

    def resolve(self, record: Record, code: int, now_s: float) -> None:
        """End `record` with `code` and report the outcome to every waiting attempt."""
        if record.may_have_run and is_refusal(code):
            # A refusal would claim that the request did not run, but a lost run of it may have.
            code = ResultCode.TARGET_LOST
        elif not record.has_proof and is_refusal(code):
            # An idempotent retry is admitted without proof; an earlier attempt may have run
            # elsewhere.
            code = ResultCode.NO_PROOF
        record.code = code
        if code == ResultCode.OK:
            record.state = RecordState.ANSWERED
        else:
            record.state = RecordState.REFUSED if is_refusal(code) else RecordState.UNKNOWN
        for waiter in record.waiters:
            lacks_proof = is_refusal(code) and not waiter.has_proof
            self.report(record, waiter, ResultCode.NO_PROOF if lacks_proof else code)
            if lacks_proof:
                record.state = RecordState.UNKNOWN
        record.waiters = []
        self.records.start_retention(record, now_s)

    def notify_entry_vm(self, entry_vm: str, forward: Forward, code: int) -> None:
        """Report to an entry VM that the attempt has ended and with which code."""
        packet = forward.packet
        done = Done(
            flow=packet.flow, request_id=packet.request_id, attempt=packet.attempt, code=code
        )
        self.add_action(NotifyEntryVM(entry_vm, done))

    def relay_piece(self, record: Record, piece: AnswerPiece) -> None:
        """Send a piece to all waiters in parts that fit a datagram, and keep them for replay."""
        body = piece.body
        starts = range(0, max(1, len(body)), MAX_PIECE_BYTES)
        for start in starts:
            part = body[start : start + MAX_PIECE_BYTES]
            last = piece.last and start == starts[-1]
            self.records.keep_piece(record, part)
            for waiter in record.waiters:
                self._send_part(waiter, record.sent_pieces, last, part)
            record.sent_pieces += 1

    def replay(self, record: Record, waiter: Waiter, *, complete: bool) -> None:
        """Send the kept pieces to one more attempt; `complete` says that the answer has ended."""
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
        self.add_action(ReplyToCaller(reply))
