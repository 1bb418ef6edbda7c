"""Builders for the tests of the dispatcher and the pending requests."""

from mulberryswitch.contracts import (
    AnswerPiece,
    Forward,
    Packet,
    PacketKind,
    Target,
    TargetState,
)
from mulberryswitch.requests import (
    Dispatcher,
    PendingRequests,
    ReceiptSigner,
    ReplyToCaller,
    SendToTarget,
)

SERVICE = "reports"
ADDRESS = "10.0.0.1:80"
SIGNER = ReceiptSigner(b"fleet key")
ZONES = ("a", "b")


def build_targets(count=3, *, state=TargetState.ACTIVE):
    return [
        Target(
            name=f"t{i}", service=SERVICE, zone=ZONES[i % 2], address=f"127.0.0.1:{i}", state=state
        )
        for i in range(count)
    ]


def build_dispatcher(*, targets=3, slots=2, now_s=0.0, **options):
    dispatcher = Dispatcher(
        vm="vm1", zone="a", service=SERVICE, slots=slots, signer=SIGNER, **options
    )
    dispatcher.observe_targets(build_targets(targets), slots, now_s)
    for i in range(targets):
        dispatcher.observe_target_up(f"t{i}", now_s)
    return dispatcher


def build_pending(**options):
    return PendingRequests(vm="vm1", signer=SIGNER, **options)


def build_forward(request_id=1, *, zone="a", pinned="", entry_vm="vm2", flow=b"f", **fields):
    fields.setdefault("deadline_ms", 10_000)
    fields.setdefault("address", ADDRESS)
    fields.setdefault("kind", PacketKind.REQUEST)
    packet = Packet(flow=flow, request_id=request_id, **fields)
    return Forward(
        packet=packet,
        service=SERVICE,
        version=1,
        hops=0,
        entry_vm=entry_vm,
        entry_zone=zone,
        pinned=pinned,
    )


def build_piece(dispatch_id, *, index=0, last=True, body=b"answer"):
    return AnswerPiece(dispatch_id=dispatch_id, index=index, last=last, body=body)


def sends(actions):
    return [action for action in actions if isinstance(action, SendToTarget)]


def replies(actions):
    return [action.reply for action in actions if isinstance(action, ReplyToCaller)]


def codes(actions):
    return [reply.code for reply in replies(actions)]
