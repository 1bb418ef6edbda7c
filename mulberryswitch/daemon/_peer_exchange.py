"""Messages to the other VMs, and the events of the links to them."""

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
    """Send messages to peers and handle the events of their links.

    Parameters
    ----------
    membership : Membership
        Members and their states.
    silence : SilenceDetector
        Detects peers that stopped answering.
    pause : PauseDetector
        Learns from acknowledgements that the view is current again after a pause.
    rng : random.Random
        Random source.
    emit : callable
        Takes an effect for the links.
    observe_unsent : callable
        ``observe_unsent(vm, message, now_s)`` is called for a message to an unknown or dead VM.
    observe_link_lost : callable
        ``observe_link_lost(vm, lost_s, now_s)`` is called when an open stream ends.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        silence: SilenceDetector,
        pause: PauseDetector,
        rng: Random,
        emit: Callable[[Any], None],
        observe_unsent: Callable[[str, Any, float], None],
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
        """Record that a peer opened a stream to this VM."""
        member = self.membership.members.get(event.vm)
        if member is not None:
            self.membership.observe_link_up(
                vm=event.vm,
                zone=event.zone,
                address=member.address,
                incarnation=event.incarnation,
                now_s=now_s,
            )

    def observe_lost(self, event: PeerLost, now_s: float) -> None:
        """Record that a stream to a peer has ended or could not be opened."""
        if event.was_refused:
            datagrams = self.membership.observe_link_refused(vm=event.vm, now_s=now_s)
        else:
            datagrams = self.membership.observe_link_lost(vm=event.vm, now_s=now_s)
        self.send_member_datagrams(datagrams)
        if event.was_open:
            self.observe_link_lost(event.vm, event.lost_s, now_s)

    def send(self, vm: str, message: Any, now_s: float) -> None:
        """Send a message to a VM, or report it as unsent when the VM is unknown or dead."""
        member = self.membership.members.get(vm)
        if member is not None and member.state is not MemberState.DEAD:
            if isinstance(message, Forward):
                self.silence.observe_sent(vm=vm, now_s=now_s)
            self.emit(SendPeerMessage(vm=vm, address=member.address, message=message))
        else:
            self.observe_unsent(vm, message, now_s)

    def send_all(self, outgoing: Sequence[Any], now_s: float) -> None:
        """Send messages that carry the name of their receiver."""
        for item in outgoing:
            self.send(item.vm, item.message, now_s)

    def send_member_datagrams(self, datagrams: Sequence[OutgoingDatagram] | None) -> None:
        """Send membership datagrams."""
        for datagram in datagrams or ():
            self.emit(SendMemberDatagram(address=datagram.address, message=datagram.message))

    def observe_datagram(self, event: MemberDatagram, now_s: float) -> None:
        """Process a membership datagram."""
        datagrams = self.membership.observe_message(
            message=event.message, sender_address=event.sender, now_s=now_s, rng=self.rng
        )
        self.silence.observe_received(vm=event.message.sender)
        if isinstance(event.message, Ack):
            self.pause.observe_peer_ack(now_s=now_s, sent_s=self.membership.acknowledged_s)
        self.send_member_datagrams(datagrams)
