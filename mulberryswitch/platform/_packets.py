"""Packets of the users' platform: a header of 31 bytes, then up to 1,200 bytes of payload."""

import socket
import struct

from mulberryswitch.forwarding import Forward, Packet, Reset

__all__ = ["decode_packet", "encode_forward", "encode_reset"]

# Protocol fields: echo, sum, dport, dst, sport, src, len, flags, seq, ack, without padding.
_HEADER = struct.Struct("!IIHIHIHBII")
_TOKEN = struct.Struct("!I")
MAX_PAYLOAD_BYTES = 1_200
SYN, ACK, FIN, RST = 64, 8, 32, 4
# Resets that this system creates carry no checksum.
NO_CHECKSUM = 0


def decode_packet(data: bytes) -> Packet | None:
    """Return the packet in a datagram, None if it is not a valid packet of a caller."""
    if not _HEADER.size <= len(data) <= _HEADER.size + MAX_PAYLOAD_BYTES:
        return None
    # The field echo repeats the token of the last packet from the target. The checksum is keyed
    # and cannot be verified here.
    echo, _checksum, dport, dst, sport, src, length, flags, seq, ack = _HEADER.unpack_from(data)
    if length != len(data) - _HEADER.size:
        return None
    # Only targets send SYN with ACK; from a caller it is forged.
    if flags & SYN and flags & ACK:
        return None
    opens = bool(flags & SYN)
    return Packet(
        flow=(src, sport, dst, dport),
        token=echo,
        sequence=seq,
        # On a SYN this field counts retransmissions.
        acknowledged=0 if opens else ack,
        payload_bytes=length,
        opens=opens,
        acknowledges=bool(flags & ACK),
        finishes=bool(flags & FIN),
        resets=bool(flags & RST),
        data=data,
    )


def encode_forward(action: Forward) -> bytes:
    """Return the datagram for a target: the identity of the target, then the packet.

    A token of the action replaces the token field of the packet.
    """
    data = action.packet.data
    if not action.token:
        return action.target.identity + data
    return action.target.identity + _TOKEN.pack(action.token) + data[_TOKEN.size :]


def encode_reset(action: Reset, caller_port: int) -> tuple[bytes, tuple[str, int]]:
    """Return the datagram that resets a flow, and its destination address.

    Parameters
    ----------
    action : Reset
    caller_port : int
        Port on which all callers receive datagrams.
    """
    packet = action.packet
    caller, caller_flow_port, route, route_port = packet.flow
    header = _HEADER.pack(
        0,
        NO_CHECKSUM,
        caller_flow_port,
        caller,
        route_port,
        route,
        0,
        RST,
        packet.acknowledged,
        0,
    )
    return header, (socket.inet_ntoa(_TOKEN.pack(caller)), caller_port)
