"""Messages to the other VMs, and what their links tell about them."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from mulberryswitch.contracts import Ack, Forward, MemberState
from mulberryswitch.links import (
    MemberDatagram,
    PeerLost,
    PeerUp,
    SendMemberDatagram,
    SendPeerMessage,
)
from mulberryswitch.vms import Membership, OutgoingDatagram, PauseDetector, SilenceDetector

__all__ = ["PeerExchange"]


class PeerExchange:
    """Sends to peers and takes in the events of their links.

    Parameters
    ----------
    membership : Membership
    silence : SilenceDetector
    pause : PauseDetector
    rng : random.Random
    emit : callable
        Takes an effect for the links.
    observe_unsent : callable
        ``observe_unsent(message, now_s)`` hears of a message that has no living receiver.
    observe_link_lost : callable
        ``observe_link_lost(vm, lost_s, now_s)`` hears of a stream that was open.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        silence: SilenceDetector,
        pause: PauseDetector,
        rng: Random,
        emit: Callable[[Any], None],
        observe_unsent: Callable[[Any, float], None],
        observe_link_lost: Callable[[str, float, float], None],
    ):
        self.membership = membership
        self.silence = silence
        self.pause = pause
        self.rng = rng
        self.emit = emit
        self.observe_unsent = observe_unsent
        self.observe_link_lost = observe_link_lost

    def observe_up(self, event: PeerUp, now_s: float) -> None:
        """A stream to a peer is open."""
        known = self.membership.members.get(event.vm)
        if known is not None:
            self.membership.observe_link_up(
                vm=event.vm,
                zone=event.zone,
                address=known.address,
                incarnation=event.incarnation,
                now_s=now_s,
            )

    def observe_lost(self, event: PeerLost, now_s: float) -> None:
        """A stream to a peer has ended or could not be opened."""
        if event.was_refused:
            sends = self.membership.observe_link_refused(vm=event.vm, now_s=now_s)
        else:
            sends = self.membership.observe_link_lost(vm=event.vm, now_s=now_s)
        self.send_members(sends)
        if event.was_open:
            self.observe_link_lost(event.vm, event.lost_s, now_s)

    def send(self, vm: str, message: Any, now_s: float) -> None:
        """Send a message to a VM, or say that it cannot be sent."""
        member = self.membership.members.get(vm)
        if member is not None and member.state is not MemberState.DEAD:
            if isinstance(message, Forward):
                self.silence.observe_sent(vm=vm, now_s=now_s)
            self.emit(SendPeerMessage(vm=vm, address=member.address, message=message))
        else:
            self.observe_unsent(message, now_s)

    def send_all(self, sends: Sequence[Any], now_s: float) -> None:
        """Send messages that name their VM."""
        for send in sends:
            self.send(send.vm, send.message, now_s)

    def send_members(self, sends: Sequence[OutgoingDatagram] | None) -> None:
        """Send datagrams of the membership."""
        for send in sends or ():
            self.emit(SendMemberDatagram(address=send.address, message=send.message))

    def observe_datagram(self, event: MemberDatagram, now_s: float) -> None:
        """Take in a datagram of the membership."""
        sends = self.membership.observe_message(
            message=event.message, sender_address=event.sender, now_s=now_s, rng=self.rng
        )
        self.silence.observe_received(vm=event.message.sender)
        if isinstance(event.message, Ack):
            self.pause.observe_peer_ack(now_s=now_s, sent_s=self.membership.acknowledged_s)
        self.send_members(sends)
