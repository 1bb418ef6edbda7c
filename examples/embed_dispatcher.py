"""Use the dispatcher as a library: pass in requests and answers without a daemon."""

from mulberryswitch.contracts import AnswerPiece, Forward, Packet, PacketKind, Target, TargetState
from mulberryswitch.requests import Dispatcher, ReceiptSigner, ReplyToCaller, SendToTarget


def build_forward(request_id: int) -> Forward:
    """Return a request as forwarded by an entry VM."""
    packet = Packet(
        kind=PacketKind.REQUEST,
        flow=request_id.to_bytes(2, "big"),
        address="10.0.0.1:443",
        request_id=request_id,
        deadline_ms=60_000,
    )
    return Forward(
        packet=packet, service="reports", version=1, hops=0, entry_vm="vm-1", entry_zone="north"
    )


def main() -> None:
    """Send three requests to a target with two slots; the third waits for a free slot."""
    dispatcher = Dispatcher(
        vm="vm-1", zone="north", service="reports", slots=2, signer=ReceiptSigner(b"k" * 16)
    )
    target = Target(
        name="t1",
        service="reports",
        zone="north",
        address="127.0.0.1:9000",
        state=TargetState.ACTIVE,
    )
    dispatcher.observe_targets([target], 2, 0.0)
    dispatcher.observe_target_up("t1", 0.0)
    sent = []
    for request_id in (1, 2, 3):
        actions = dispatcher.observe_request(build_forward(request_id), 1.0)
        sent += [action for action in actions if isinstance(action, SendToTarget)]
    print(f"sent immediately: {len(sent)}")

    piece = AnswerPiece(dispatch_id=sent[0].dispatch_id, index=0, last=True, body=b"done")
    for action in dispatcher.observe_answer(piece, 2.0):
        if isinstance(action, ReplyToCaller):
            print(f"answer for request {action.reply.request_id}: {action.reply.body.decode()}")
        if isinstance(action, SendToTarget):
            print(f"sent when a slot became free: request {action.frame.request_id}")


if __name__ == "__main__":
    main()
