"""Packets as callers and targets write them, independent of the product's own codec."""

import socket
import struct
import zlib
from typing import NamedTuple

__all__ = ["ACK", "FIN", "RST", "SYN", "FlowId", "Segment", "decode", "encode"]

SYN, ACK, FIN, RST = 64, 8, 32, 4
_HEAD = struct.Struct("!IIHIHIHBII")
_KEY = b"known to callers and targets only"


class FlowId(NamedTuple):
    """Both ends of a flow, the caller's first; addresses as text."""

    caller: str
    caller_port: int
    route: str
    route_port: int


class Segment(NamedTuple):
    """One packet, without its addresses.

    Attributes
    ----------
    token : int
        The field that VMs write into openings and both ends repeat.
    is_sealed : bool
        Whether the checksum is that of the ends; a reset of the system has none.
    """

    flags: int
    token: int
    sequence: int
    acknowledged: int
    payload: bytes
    is_sealed: bool = True


def encode(source: tuple[str, int], destination: tuple[str, int], segment: Segment) -> bytes:
    """Return a sealed packet from one end to the other."""
    fields = _pack(0, 0, source, destination, segment)
    return _pack(segment.token, _seal(fields, segment.payload), source, destination, segment)


def decode(data: bytes) -> tuple[tuple[str, int], tuple[str, int], Segment]:
    """Return source, destination and content of a packet."""
    token, seal, dport, dst, sport, src, size, flags, seq, ack = _HEAD.unpack_from(data)
    payload = data[_HEAD.size :]
    source, destination = (_format(src), sport), (_format(dst), dport)
    bare = Segment(flags, token, seq, ack, payload)
    is_sealed = seal == _seal(_pack(0, 0, source, destination, bare), payload)
    return source, destination, bare._replace(is_sealed=is_sealed and size == len(payload))


def _pack(token, seal, source, destination, segment: Segment) -> bytes:
    head = _HEAD.pack(
        token,
        seal,
        destination[1],
        _parse(destination[0]),
        source[1],
        _parse(source[0]),
        len(segment.payload),
        segment.flags,
        segment.sequence,
        segment.acknowledged,
    )
    return head + segment.payload


def _seal(fields: bytes, payload: bytes) -> int:
    return zlib.crc32(_KEY + fields + payload) or 1


def _parse(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), "big")


def _format(host: int) -> str:
    return socket.inet_ntoa(host.to_bytes(4, "big"))
