"""Packets of the users' platform: a head of 31 bytes, then up to 1,200 bytes of data."""

import socket
import struct

from mulberryswitch.forwarding import Forward, Packet, Reset

__all__ = ["decode_packet", "encode_forward", "encode_reset"]

# echo, sum, dport, dst, sport, src, len, flags, seq, ack; the padding has no bytes
_HEAD = struct.Struct("!IIHIHIHBII")
_TOKEN = struct.Struct("!I")
MAX_PAYLOAD_BYTES = 1_200
SYN, ACK, FIN, RST = 64, 8, 32, 4
# A reset of the system's own carries no checksum.
NO_SUM = 0


def decode_packet(data: bytes) -> Packet | None:
    """Return the packet in a datagram; None if it is none."""
    if not _HEAD.size <= len(data) <= _HEAD.size + MAX_PAYLOAD_BYTES:
        return None
    # `echo` is what the caller repeats of the target's last packet. The sum is keyed and cannot
    # be checked here.
    echo, _sum, dport, dst, sport, src, length, flags, seq, ack = _HEAD.unpack_from(data)
    if length != len(data) - _HEAD.size:
        return None
    # A SYN with ACK belongs to a target; from a caller it would be forged.
    if flags & SYN and flags & ACK:
        return None
    opens = bool(flags & SYN)
    return Packet(
        flow=(src, sport, dst, dport),
        token=echo,
        sequence=seq,
        # On a SYN this field counts the copies.
        acknowledged=0 if opens else ack,
        payload_bytes=length,
        opens=opens,
        acknowledges=bool(flags & ACK),
        finishes=bool(flags & FIN),
        resets=bool(flags & RST),
        data=data,
    )


def encode_forward(action: Forward) -> bytes:
    """Return the datagram for a target: the identity it is meant for, then the packet."""
    data = action.packet.data
    if not action.token:
        return action.target.identity + data
    return action.target.identity + _TOKEN.pack(action.token) + data[_TOKEN.size :]


def encode_reset(action: Reset, caller_port: int) -> tuple[bytes, tuple[str, int]]:
    """Return the datagram that resets a flow, and where it goes.

    Parameters
    ----------
    action : Reset
    caller_port : int
        Port at which callers take datagrams; the same for all of them.
    """
    packet = action.packet
    caller, caller_flow_port, route, route_port = packet.flow
    head = _HEAD.pack(
        0,
        NO_SUM,
        caller_flow_port,
        caller,
        route_port,
        route,
        0,
        RST,
        packet.acknowledged,
        0,
    )
    return head, (socket.inet_ntoa(_TOKEN.pack(caller)), caller_port)
